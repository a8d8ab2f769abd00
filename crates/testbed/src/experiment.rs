//! An experiment: world, load, faults, seeds and what varies, read from a TOML file (and those it builds on) and checked.

use crate::spec::{File, Spec, Vary, check};
use std::path::{Path, PathBuf};
use toml::{Table, Value};

/// One thing that is wrong with an experiment's file.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidField {
    /// Such as `faults[1].zone`.
    pub field: String,
    /// Counted from 1; none where the field is missing.
    pub line: Option<usize>,
    /// What is allowed there.
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

/// Why an experiment cannot be run; nothing has been started.
#[derive(Debug)]
pub enum BadExperiment {
    /// The file could not be read.
    Unread(PathBuf, std::io::Error),
    /// Not TOML, or not of the form: the message of the TOML parser, with line and column.
    Form(PathBuf, String),
    /// The form is right, but not what some fields hold.
    InvalidFields(PathBuf, Vec<InvalidField>),
}

impl std::fmt::Display for BadExperiment {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            BadExperiment::Unread(path, e) => write!(f, "{}: {e}", path.display()),
            BadExperiment::Form(path, e) => write!(f, "{}: {}", path.display(), e.trim_end()),
            BadExperiment::InvalidFields(path, faults) => {
                let lines: Vec<String> = faults
                    .iter()
                    .map(|fault| format!("{}: {fault}", path.display()))
                    .collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

impl std::error::Error for BadExperiment {}

/// One way of running an experiment.
#[derive(Clone, Debug)]
pub struct Variant {
    /// What sets it apart.
    pub name: String,
    /// The run, all but its seed.
    pub spec: Spec,
    /// The build of the dispatcher, where the variant names one.
    pub program: Option<PathBuf>,
}

/// An experiment that can be run.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// The file's name, without its ending.
    pub name: String,
    /// For reports.
    pub title: String,
    /// Every variant is run with each of these.
    pub seeds: Vec<u64>,
    /// The ways of running it.
    pub variants: Vec<Variant>,
}

/// Puts `over` on top of `base`, table by table; anything else replaces.
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

/// Sets a field such as `load.rate` or `faults[0].share`. False: its place does not exist.
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

/// The line of a field such as `troubles[1].zone`, or of the nearest thing around it.
fn line_of(text: &str, field: &str) -> Option<usize> {
    use toml::de::{DeTable, DeValue};
    let whole = DeTable::parse(text).ok()?;
    let (mut at, mut table) = (None, whole.get_ref());
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

/// What the file holds beside the run itself.
const AROUND: [&str; 4] = ["title", "seeds", "vary", "long"];

/// The texts of an experiment: its own, and those that it builds on, nearest first.
struct Texts(Vec<(PathBuf, String)>);

/// Experiments build on one another this deep.
const DEPTH: usize = 4;

impl Texts {
    /// Where a field is written: in the nearest text that has it.
    fn place(&self, field: &str) -> Option<(PathBuf, usize)> {
        // The longest part of the field that is written somewhere counts.
        let whole =
            |(path, text): &(PathBuf, String)| line_of(text, field).map(|l| (path.clone(), l));
        self.0.iter().find_map(whole)
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
    fn read(path: &Path) -> Result<(Texts, Table), BadExperiment> {
        let text =
            std::fs::read_to_string(path).map_err(|e| BadExperiment::Unread(path.into(), e))?;
        Texts::layer(path, text, 0)
    }
    /// The text over what it builds on.
    fn layer(path: &Path, text: String, depth: usize) -> Result<(Texts, Table), BadExperiment> {
        let form = |e: toml::de::Error| BadExperiment::Form(path.into(), e.to_string());
        let mut own: Table = toml::from_str(&text).map_err(form)?;
        let base = own.remove("base");
        let mut texts = vec![(path.to_path_buf(), text)];
        let Some(base) = base else {
            return Ok((Texts(texts), own));
        };
        let expected = "the name of another experiment's file, beside this one, four deep at most";
        let fault = || {
            let line = line_of(&texts[0].1, "base");
            let fault = InvalidField {
                field: "base".into(),
                line,
                expected: expected.into(),
            };
            BadExperiment::InvalidFields(path.into(), vec![fault])
        };
        let name = base.as_str().filter(|_| depth < DEPTH).ok_or_else(fault)?;
        let under = path.parent().unwrap_or(Path::new("")).join(name);
        let text =
            std::fs::read_to_string(&under).map_err(|e| BadExperiment::Unread(under.clone(), e))?;
        let (below, mut table) = Texts::layer(&under, text, depth + 1)?;
        overlay(&mut table, own);
        texts.extend(below.0);
        Ok((Texts(texts), table))
    }
}

/// Reads an experiment; `long` takes its longer form.
pub fn read(path: &Path, long: bool) -> Result<Experiment, BadExperiment> {
    read_varied(path, long, None)
}

/// The same, varying something else than the file does.
pub fn read_varied(
    path: &Path,
    long: bool,
    vary: Option<Vary>,
) -> Result<Experiment, BadExperiment> {
    let name = path
        .file_stem()
        .map_or_else(String::new, |n| n.to_string_lossy().into_owned());
    let (texts, table) = Texts::read(path)?;
    build(texts, table, &name, path, long, vary)
}

/// Reads an experiment from a text.
pub fn parse(text: &str, name: &str) -> Result<Experiment, BadExperiment> {
    let path = PathBuf::from(name);
    let (texts, table) = Texts::layer(&path, text.to_string(), 0)?;
    build(texts, table, name, &path, false, None)
}

/// The error of the TOML parser in a table that is merged from several texts, with its place.
fn misread(texts: &Texts, path: &Path, e: &toml::de::Error) -> BadExperiment {
    let said = e.message().to_string();
    let key = said.split('`').nth(1).unwrap_or("");
    match texts.key_line(key).filter(|_| said.starts_with("unknown")) {
        Some((path, line)) => BadExperiment::Form(path, format!("line {line}, {said}")),
        None => {
            // In a single text the reader knows the place.
            let placed = (texts.0.len() == 1)
                .then(|| toml::from_str::<File>(&texts.0[0].1).err())
                .flatten();
            BadExperiment::Form(path.into(), placed.as_ref().unwrap_or(e).to_string())
        }
    }
}

/// The file as a whole, without what varies: what is wrong there is wrong in every variant.
fn whole_file(texts: &Texts, path: &Path, table: &Table) -> Result<File, BadExperiment> {
    let read: Result<File, toml::de::Error> = table.clone().try_into();
    read.map_err(|e| misread(texts, path, &e))
}

fn build(
    texts: Texts,
    mut table: Table,
    name: &str,
    path: &Path,
    long: bool,
    vary: Option<Vary>,
) -> Result<Experiment, BadExperiment> {
    let mut file = whole_file(&texts, path, &table)?;
    if let (true, Some(Value::Table(over))) = (long, table.get("long").cloned()) {
        overlay(&mut table, over);
        file = whole_file(&texts, path, &table)?;
    }
    AROUND.iter().for_each(|key| drop(table.remove(*key)));
    let mut builder = Builder {
        texts,
        path,
        invalid: vec![],
        variants: vec![],
    };
    if file.seeds.is_empty() {
        builder.report("seeds", "at least one whole number");
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
        Err(BadExperiment::InvalidFields(path.into(), builder.invalid))
    }
}

/// Collects the variants of an experiment, and all that is wrong in them.
struct Builder<'a> {
    texts: Texts,
    path: &'a Path,
    invalid: Vec<InvalidField>,
    variants: Vec<Variant>,
}

impl Builder<'_> {
    /// What is wrong in several variants is reported once.
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
                &format!("values that its field can take ({})", e.message()),
            ),
        }
    }

    fn add_all(&mut self, vary: &Vary, table: &Table) {
        if vary.field.is_some() == vary.values.is_empty() {
            self.report("vary", "a field together with its values, or programs");
        }
        if vary.field.is_none() && vary.programs.is_empty() {
            self.report("vary", "a field with values, or programs");
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
