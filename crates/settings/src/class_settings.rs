//! Parses the settings of the message classes.

use crate::bounds::MAX_VALUE;
use crate::reader::{FieldReader, InvalidField};
use bellsill_core::interface::{ClassSettings, DeduplicationScope, DeliverySemantics};

/// The settings of a message class, with its name on the platform.
pub(crate) struct NamedClass {
    pub(crate) name: String,
    pub(crate) settings: ClassSettings,
}

/// Reads all message classes, in the order of the settings.
pub(crate) fn read_classes(fields: &FieldReader) -> Result<Vec<NamedClass>, InvalidField> {
    fields
        .array("services")?
        .iter()
        .enumerate()
        .map(|(index, json)| {
            let path_prefix = format!("{}.services[{index}]", fields.path_prefix);
            read_class(&FieldReader {
                json,
                path_prefix: &path_prefix,
            })
        })
        .collect()
}

fn read_class(fields: &FieldReader) -> Result<NamedClass, InvalidField> {
    let semantics = read_semantics(fields)?;
    let settings = ClassSettings {
        priority_weight: fields.number_in_range(0.0, MAX_VALUE, "worth")?,
        latency_objective: fields.integer_at_least(1, "aim-ns")?,
        lifetime: fields.unsigned_integer("deadline-ns")?,
        late_value_share: fields.number_in_range(0.0, 1.0, "late-share")?,
        semantics,
        ordered: fields.flag("in-turn"),
    };
    Ok(NamedClass {
        name: fields.string("name")?.to_string(),
        settings,
    })
}

fn read_semantics(fields: &FieldReader) -> Result<DeliverySemantics, InvalidField> {
    match fields.string("repeat")? {
        "idempotent" => Ok(DeliverySemantics::Idempotent),
        "deduplicated" => Ok(DeliverySemantics::IdempotencyKey {
            window: fields.unsigned_integer("window-ns")?,
            scope: match fields.string("dedup-scope")? {
                "all" => DeduplicationScope::Destination,
                _ => DeduplicationScope::Zone,
            },
        }),
        "at_most_once" => Ok(DeliverySemantics::AtMostOnce),
        _ => Err(fields.invalid("repeat", "idempotent, deduplicated or at_most_once")),
    }
}
