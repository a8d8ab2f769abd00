//! The platform's names for the numeric ids of the decision logic, and the interpretation of endpoint weights.

use crate::bounds::MAX_VALUE;
use crate::reader::{FieldReader, InvalidField};
use serde_json::Value;
use std::error::Error;
use std::fmt;

/// A weight in an endpoint list that should state a rate and is negative, too large or not a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidWeight;

impl fmt::Display for InvalidWeight {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "weight: expected a number from 0 to {MAX_VALUE}")
    }
}

impl Error for InvalidWeight {}

/// The platform's names, indexed by the numeric ids of the decision logic, and the interpretation of the weights in
/// endpoint lists.
pub struct PlatformNames {
    /// Message classes.
    pub classes: Vec<String>,
    /// Kinds of endpoints.
    pub kinds: Vec<String>,
    /// Availability zones.
    pub zones: Vec<String>,
    /// Tenants that share the service; empty if the settings name none.
    pub tenants: Vec<String>,
    /// Whether the weight of an endpoint states its rate; otherwise weights are ignored.
    pub weights_are_rates: bool,
}

impl PlatformNames {
    /// Reads all names but those of the classes, which are read with the settings of the classes.
    pub(crate) fn read(fields: &FieldReader, classes: Vec<String>) -> Result<Self, InvalidField> {
        Ok(PlatformNames {
            classes,
            kinds: fields.strings("flavors")?,
            zones: fields.strings("dcs")?,
            tenants: read_tenants(fields)?,
            weights_are_rates: matches!(fields.string("weights"), Ok("rough" | "nominal")),
        })
    }

    /// Returns the rate that the weight of an endpoint states. A weight of 0 states none.
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
    let tenant_name = |tenant: &Value| Some(tenant.get("name")?.as_str()?.to_string());
    tenants
        .iter()
        .map(|tenant| {
            tenant_name(tenant).ok_or_else(|| fields.invalid("realms", "a name for each realm"))
        })
        .collect()
}
