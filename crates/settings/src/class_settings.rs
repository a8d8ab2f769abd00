//! The settings of a message class.

use crate::bounds::MAX_VALUE;
use crate::reader::{InvalidField, Reader};
use bellsill_core::interface::{ClassSettings, DeduplicationScope, DeliverySemantics};

/// A message class with the platform's name for it.
pub(crate) struct NamedClass {
    pub(crate) name: String,
    pub(crate) settings: ClassSettings,
}

/// All classes, in their order in the settings.
pub(crate) fn read_classes(fields: &Reader) -> Result<Vec<NamedClass>, InvalidField> {
    fields
        .list("services")?
        .iter()
        .enumerate()
        .map(|(index, json)| {
            let place = format!("{}.services[{index}]", fields.place);
            read_class(&Reader {
                json,
                place: &place,
            })
        })
        .collect()
}

fn read_class(fields: &Reader) -> Result<NamedClass, InvalidField> {
    let semantics = read_semantics(fields)?;
    let settings = ClassSettings {
        priority_weight: fields.within(0.0, MAX_VALUE, "worth")?,
        latency_objective: fields.whole_number_from(1, "aim-ns")?,
        lifetime: fields.count("deadline-ns")?,
        late_value_share: fields.within(0.0, 1.0, "late-share")?,
        semantics,
        ordered: fields.flag("in-turn"),
    };
    Ok(NamedClass {
        name: fields.string("name")?.to_string(),
        settings,
    })
}

fn read_semantics(fields: &Reader) -> Result<DeliverySemantics, InvalidField> {
    match fields.string("repeat")? {
        "idempotent" => Ok(DeliverySemantics::Idempotent),
        "deduplicated" => Ok(DeliverySemantics::IdempotencyKey {
            window: fields.count("window-ns")?,
            scope: match fields.string("dedup-scope")? {
                "all" => DeduplicationScope::Destination,
                _ => DeduplicationScope::Zone,
            },
        }),
        "at_most_once" => Ok(DeliverySemantics::AtMostOnce),
        _ => Err(fields.invalid("repeat", "idempotent, deduplicated or at_most_once")),
    }
}
