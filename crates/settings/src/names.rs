//! The platform's names for what the decisions know by number, and the meaning of its weights.

use crate::bounds::MAX_VALUE;
use crate::reader::{FieldReader, InvalidField};
use serde_json::Value;
use std::error::Error;
use std::fmt;

/// A weight in an endpoint list that is not a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidWeight;

impl fmt::Display for InvalidWeight {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "weight: expected a number from 0 to {MAX_VALUE}")
    }
}

impl Error for InvalidWeight {}

/// The platform's names, by the numbers that the decisions use, and the meaning of the weights in its endpoint lists.
pub struct PlatformNames {
    /// Message classes.
    pub classes: Vec<String>,
    /// Kinds of endpoints.
    pub kinds: Vec<String>,
    /// Availability zones.
    pub zones: Vec<String>,
    /// Tenants that share the service; empty where the settings name none.
    pub tenants: Vec<String>,
    /// Whether the weight of an endpoint states its rate; otherwise it states nothing.
    pub weights_are_rates: bool,
}

impl PlatformNames {
    /// `classes` are already read with their settings.
    pub(crate) fn read(fields: &FieldReader, classes: Vec<String>) -> Result<Self, InvalidField> {
        Ok(PlatformNames {
            classes,
            kinds: fields.strings("flavors")?,
            zones: fields.strings("dcs")?,
            tenants: read_tenants(fields)?,
            weights_are_rates: matches!(fields.string("weights"), Ok("rough" | "nominal")),
        })
    }

    /// The rate that the weight of an endpoint states, if it states one.
    pub fn rate_from_weight(&self, weight: Option<f64>) -> Result<Option<f64>, InvalidWeight> {
        match weight {
            Some(weight) if self.weights_are_rates => {
                if !(0.0..=MAX_VALUE).contains(&weight) {
                    return Err(InvalidWeight);
                }
                Ok(Some(weight).filter(|&rate| rate > 0.0))
            }
            _ => Ok(None),
        }
    }
}

fn read_tenants(fields: &FieldReader) -> Result<Vec<String>, InvalidField> {
    let Some(tenants) = fields.get("realms").and_then(Value::as_array) else {
        return Ok(Vec::new());
    };
    let name = |tenant: &Value| Some(tenant.get("name")?.as_str()?.to_string());
    tenants
        .iter()
        .map(|tenant| name(tenant).ok_or_else(|| fields.invalid("realms", "a name for each")))
        .collect()
}
