//! One line of the wire: a name and name=value pairs, the last of them free text where it is one.

use bellsill_core::interface::MessageId;

/// What is wrong with a line, said plainly.
#[derive(Debug)]
pub struct Bad(pub String);

pub struct Line<'a> {
    pub name: &'a str,
    whole: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    pub fn read(whole: &'a str) -> Result<Self, Bad> {
        let (name, mut rest) = whole.split_once(' ').unwrap_or((whole, ""));
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let cut = match rest.split_once('=') {
                // Text runs to the end of its line.
                Some(("boot-info" | "message", value)) => {
                    (rest.len() - value.len() - 1, rest.len())
                }
                Some((_, value)) => {
                    let eq = rest.len() - value.len() - 1;
                    (eq, eq + 1 + value.find(' ').unwrap_or(value.len()))
                }
                None => return Err(Bad(format!("line {whole:?}: expected name=value pairs"))),
            };
            fields.push((&rest[..cut.0], &rest[cut.0 + 1..cut.1]));
            rest = rest[cut.1..].trim_start_matches(' ');
        }
        Ok(Line {
            name,
            whole,
            fields,
        })
    }

    pub fn bad(&self, field: &str, expected: &str) -> Bad {
        let shown: String = self.whole.chars().take(120).collect();
        Bad(format!(
            "line {shown:?}: field {field:?}: expected {expected}"
        ))
    }

    pub fn get(&self, field: &str) -> Option<&'a str> {
        self.fields.iter().find(|f| f.0 == field).map(|f| f.1)
    }

    pub fn text(&self, field: &str) -> Result<&'a str, Bad> {
        self.get(field).ok_or_else(|| self.bad(field, "a value"))
    }

    pub fn maybe_num(&self, field: &str) -> Result<Option<u64>, Bad> {
        let read = |v: &str| v.parse().map_err(|_| self.bad(field, "a whole number"));
        self.get(field).map(read).transpose()
    }

    pub fn num(&self, field: &str) -> Result<u64, Bad> {
        self.maybe_num(field)?
            .ok_or_else(|| self.bad(field, "a whole number"))
    }

    pub fn hex(&self, field: &str) -> Result<MessageId, Bad> {
        let read = u64::from_str_radix(self.text(field)?, 16);
        read.map(MessageId)
            .map_err(|_| self.bad(field, "16 hex digits"))
    }
}
