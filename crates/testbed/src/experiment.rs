//! Reads an experiment (endpoints, load, faults, seeds and variants) from a TOML file and its base files, and validates it.

use crate::spec::{File, Spec, Vary, check};
use std::path::{Path, PathBuf};
use toml::{Table, Value};

/// A field of an experiment file with an invalid value.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidField {
    /// The path of the field, for example `troubles[1].zone`.
    pub field: String,
    /// The line, counted from 1; `None` if the field is missing.
    pub line: Option<usize>,
    /// The values that are allowed.
    pub expected: String,
}

impl std::fmt::Display for InvalidField {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self.line {
            Some(line) => write!(
                f,
                "line {line}, field {}: expected {}",
                self.field, self.expected
            ),
            None => write!(f, "field {}: expected {}", self.field, self.expected),
        }
    }
}

/// Why an experiment cannot be run.
#[derive(Debug)]
pub enum ExperimentError {
    /// The file could not be read.
    Unreadable(PathBuf, std::io::Error),
    /// The file is not TOML or does not match the schema: the message of the TOML parser, with line and column.
    Malformed(PathBuf, String),
    /// The file matches the schema, but some values are out of range.
    InvalidFields(PathBuf, Vec<InvalidField>),
}

impl std::fmt::Display for ExperimentError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            ExperimentError::Unreadable(path, e) => write!(f, "{}: {e}", path.display()),
            ExperimentError::Malformed(path, e) => {
                write!(f, "{}: {}", path.display(), e.trim_end())
            }
            ExperimentError::InvalidFields(path, fields) => {
                let lines: Vec<String> = fields
                    .iter()
                    .map(|field| format!("{}: {field}", path.display()))
                    .collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

impl std::error::Error for ExperimentError {}

/// A variant of an experiment; it is run with every seed.
#[derive(Clone, Debug)]
pub struct Variant {
    /// The varied field and its value, or the name of the program.
    pub name: String,
    /// The specification of its runs, without the seed.
    pub spec: Spec,
    /// The dispatcher executable, if the variant names one.
    pub program: Option<PathBuf>,
}

/// A validated experiment.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// The file name without its extension.
    pub name: String,
    /// The title, for reports.
    pub title: String,
    /// The seeds that every variant is run with.
    pub seeds: Vec<u64>,
    /// The variants; a single one if nothing varies.
    pub variants: Vec<Variant>,
}

/// Merges `over` into `base`: tables are merged recursively, other values replace the old ones.
fn overlay(base: &mut Table, over: Table) {
    for (key, value) in over {
        match (base.get_mut(&key), value) {
            (Some(Value::Table(old)), Value::Table(new)) => overlay(old, new),
            (_, value) => {
                base.insert(key, value);
            }
        }
    }
}

/// Sets a field such as `load.rate` or `troubles[0].share`. Returns false if the table or array element around it is missing.
fn set(table: &mut Table, field: &str, value: &Value) -> bool {
    let (head, rest) = field
        .split_once('.')
        .map_or((field, None), |(h, r)| (h, Some(r)));
    let (name, index) = match head.split_once('[') {
        Some((name, index)) => (name, index.trim_end_matches(']').parse::<usize>().ok()),
        None => (head, None),
    };
    let Some(rest) = rest else {
        table.insert(name.to_string(), value.clone());
        return true;
    };
    match (table.get_mut(name), index) {
        (Some(Value::Table(inner)), None) => set(inner, rest, value),
        (Some(Value::Array(list)), Some(i)) => match list.get_mut(i) {
            Some(Value::Table(inner)) => set(inner, rest, value),
            _ => false,
        },
        (None, None) => {
            let mut inner = Table::new();
            let done = set(&mut inner, rest, value);
            table.insert(name.to_string(), Value::Table(inner));
            done
        }
        _ => false,
    }
}

/// The line of a field such as `troubles[1].zone`, or of the innermost enclosing table or array that is present.
fn line_of(text: &str, field: &str) -> Option<usize> {
    use toml::de::{DeTable, DeValue};
    let document = DeTable::parse(text).ok()?;
    let (mut at, mut table) = (None, document.get_ref());
    for part in field.split('.') {
        let (name, index) = part
            .split_once('[')
            .map_or((part, None), |(n, i)| (n, Some(i)));
        let Some(inner) = table.get(name) else { break };
        at = Some(inner.span().start);
        let mut value = inner.get_ref();
        if let (Some(i), DeValue::Array(list)) = (index, value) {
            let Some(inner) = i
                .trim_end_matches(']')
                .parse()
                .ok()
                .and_then(|i: usize| list.get(i))
            else {
                break;
            };
            at = Some(inner.span().start);
            value = inner.get_ref();
        }
        let DeValue::Table(inner) = value else { break };
        table = inner;
    }
    at.map(|at| text[..at.min(text.len())].matches('\n').count() + 1)
}

/// The keys of a file that are not part of the specification of a run.
const NON_SPEC_KEYS: [&str; 4] = ["title", "seeds", "vary", "long"];

/// The text of an experiment file and of its base files, nearest first.
struct Texts(Vec<(PathBuf, String)>);

/// The maximum number of base files below an experiment; it also ends cycles.
const MAX_BASE_DEPTH: usize = 4;

impl Texts {
    /// The file and line of a field, in the nearest text that contains it or an enclosing table.
    fn place(&self, field: &str) -> Option<(PathBuf, usize)> {
        let find =
            |(path, text): &(PathBuf, String)| line_of(text, field).map(|l| (path.clone(), l));
        self.0.iter().find_map(find)
    }
    /// The first line that sets a key of this name, for an error of the TOML parser in a merged table.
    fn key_line(&self, key: &str) -> Option<(PathBuf, usize)> {
        let sets = |line: &str| {
            let line = line.trim_start().trim_start_matches('[');
            line.strip_prefix(key)
                .is_some_and(|rest| rest.trim_start().starts_with(['=', '.', ']']))
        };
        self.0
            .iter()
            .find_map(|(path, text)| Some((path.clone(), text.lines().position(sets)? + 1)))
    }
    fn read(path: &Path) -> Result<(Texts, Table), ExperimentError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| ExperimentError::Unreadable(path.into(), e))?;
        Texts::merge(path, text, 0)
    }
    /// Parses the text and merges it over its base files.
    fn merge(path: &Path, text: String, depth: usize) -> Result<(Texts, Table), ExperimentError> {
        let malformed = |e: toml::de::Error| ExperimentError::Malformed(path.into(), e.to_string());
        let mut own: Table = toml::from_str(&text).map_err(malformed)?;
        let base = own.remove("base");
        let mut texts = vec![(path.to_path_buf(), text)];
        let Some(base) = base else {
            return Ok((Texts(texts), own));
        };
        let expected =
            "the name of an experiment file in the same directory, nested at most four deep";
        let invalid_base = || {
            let line = line_of(&texts[0].1, "base");
            let field = InvalidField {
                field: "base".into(),
                line,
                expected: expected.into(),
            };
            ExperimentError::InvalidFields(path.into(), vec![field])
        };
        let name = base
            .as_str()
            .filter(|_| depth < MAX_BASE_DEPTH)
            .ok_or_else(invalid_base)?;
        let under = path.parent().unwrap_or(Path::new("")).join(name);
        let text = std::fs::read_to_string(&under)
            .map_err(|e| ExperimentError::Unreadable(under.clone(), e))?;
        let (below, mut table) = Texts::merge(&under, text, depth + 1)?;
        overlay(&mut table, own);
        texts.extend(below.0);
        Ok((Texts(texts), table))
    }
}

/// Reads an experiment, in its long form if `long` is set.
pub fn read(path: &Path, long: bool) -> Result<Experiment, ExperimentError> {
    read_varied(path, long, None)
}

/// Reads an experiment; `vary`, if present, replaces the variation of the file.
pub fn read_varied(
    path: &Path,
    long: bool,
    vary: Option<Vary>,
) -> Result<Experiment, ExperimentError> {
    let name = path
        .file_stem()
        .map_or_else(String::new, |n| n.to_string_lossy().into_owned());
    let (texts, table) = Texts::read(path)?;
    build(texts, table, &name, path, long, vary)
}

/// Reads an experiment from a string.
pub fn parse(text: &str, name: &str) -> Result<Experiment, ExperimentError> {
    let path = PathBuf::from(name);
    let (texts, table) = Texts::merge(&path, text.to_string(), 0)?;
    build(texts, table, name, &path, false, None)
}

/// Adds the position to an error of the TOML parser in a table that was merged from several texts.
fn locate_error(texts: &Texts, path: &Path, e: &toml::de::Error) -> ExperimentError {
    let message = e.message().to_string();
    let key = message.split('`').nth(1).unwrap_or("");
    match texts
        .key_line(key)
        .filter(|_| message.starts_with("unknown"))
    {
        Some((path, line)) => ExperimentError::Malformed(path, format!("line {line}, {message}")),
        None => {
            // With a single text, parsing it again gives the position.
            let located = (texts.0.len() == 1)
                .then(|| toml::from_str::<File>(&texts.0[0].1).err())
                .flatten();
            ExperimentError::Malformed(path.into(), located.as_ref().unwrap_or(e).to_string())
        }
    }
}

/// Parses the whole file before variants are applied; an error here concerns every variant.
fn parse_file(texts: &Texts, path: &Path, table: &Table) -> Result<File, ExperimentError> {
    let read: Result<File, toml::de::Error> = table.clone().try_into();
    read.map_err(|e| locate_error(texts, path, &e))
}

fn build(
    texts: Texts,
    mut table: Table,
    name: &str,
    path: &Path,
    long: bool,
    vary: Option<Vary>,
) -> Result<Experiment, ExperimentError> {
    let mut file = parse_file(&texts, path, &table)?;
    if let (true, Some(Value::Table(over))) = (long, table.get("long").cloned()) {
        overlay(&mut table, over);
        file = parse_file(&texts, path, &table)?;
    }
    NON_SPEC_KEYS
        .iter()
        .for_each(|key| drop(table.remove(*key)));
    let mut builder = Builder {
        texts,
        path,
        invalid: vec![],
        variants: vec![],
    };
    if file.seeds.is_empty() {
        builder.report("seeds", "at least one integer");
    }
    match vary.or(file.vary) {
        None => builder.add("as written".into(), table, None),
        Some(vary) => builder.add_all(&vary, &table),
    }
    if builder.invalid.is_empty() {
        Ok(Experiment {
            name: name.into(),
            title: file.title,
            seeds: file.seeds,
            variants: builder.variants,
        })
    } else {
        Err(ExperimentError::InvalidFields(path.into(), builder.invalid))
    }
}

/// Collects the variants of an experiment and their invalid fields.
struct Builder<'a> {
    texts: Texts,
    path: &'a Path,
    invalid: Vec<InvalidField>,
    variants: Vec<Variant>,
}

impl Builder<'_> {
    /// Records an invalid field; the same error in several variants is recorded once.
    fn report(&mut self, field: &str, expected: &str) {
        let place = self.texts.place(field);
        let line = place.as_ref().map(|p| p.1);
        let in_other = place
            .filter(|p| p.0 != self.path)
            .map(|p| format!(" (in {})", p.0.display()));
        let invalid = InvalidField {
            field: field.into(),
            line,
            expected: format!("{expected}{}", in_other.unwrap_or_default()),
        };
        if !self.invalid.contains(&invalid) {
            self.invalid.push(invalid);
        }
    }

    fn add(&mut self, name: String, table: Table, program: Option<PathBuf>) {
        match table.try_into::<Spec>() {
            Ok(spec) => {
                check(&spec, &mut |field, expected| self.report(field, expected));
                self.variants.push(Variant {
                    name,
                    spec,
                    program,
                });
            }
            Err(e) => self.report(
                "vary.values",
                &format!("values that are valid for the field ({})", e.message()),
            ),
        }
    }

    fn add_all(&mut self, vary: &Vary, table: &Table) {
        if vary.field.is_some() == vary.values.is_empty() {
            self.report("vary", "field and values together, or programs");
        }
        if vary.field.is_none() && vary.programs.is_empty() {
            self.report("vary", "field with values, or programs");
        }
        let field = vary.field.as_deref().unwrap_or("");
        for value in &vary.values {
            let mut varied = table.clone();
            if set(&mut varied, field, value) {
                self.add(format!("{field} = {value}"), varied, None);
            } else {
                self.report("vary.field", "a field of this file such as load.rate");
            }
        }
        for (name, program) in &vary.programs {
            self.add(name.clone(), table.clone(), Some(program.clone()));
        }
    }
}
