//! The list of endpoints that an operator has disabled, and the file in which it outlasts the process.

use super::request::{Request, parse};
use crate::event_loop::Daemon;

/// Endpoints that may be held out by hand at once: the list of them outlasts the process and must stay small.
pub const MAX_DISABLED: usize = 1024;

/// The file of the folder that lasts that names them, one a line.
pub const DISABLED_FILE: &str = "held-out";

/// Reads the endpoints held out by hand. A line that is no id is skipped and said, and so are those beyond the bound.
pub fn parse_disabled(text: &str) -> (std::collections::BTreeSet<String>, Vec<String>) {
    let (mut held, mut bad) = (std::collections::BTreeSet::new(), Vec::new());
    for (n, line) in text
        .lines()
        .enumerate()
        .filter(|(_, l)| !l.trim().is_empty())
    {
        match parse(format!("disable-server {line}").as_bytes()) {
            Ok(Request::Disable(id)) if held.len() < MAX_DISABLED => drop(held.insert(id)),
            Ok(_) => bad.push(format!(
                "line {}: more than {MAX_DISABLED} endpoints",
                n + 1
            )),
            Err(_) => bad.push(format!("line {}: no endpoint id", n + 1)),
        }
    }
    (held, bad)
}

/// The endpoints held out by hand, as the folder that lasts has them. What is no id is said, and the rest is used.
pub fn load_disabled(
    folder: &std::path::Path,
) -> std::io::Result<std::collections::BTreeSet<String>> {
    let path = folder.join(DISABLED_FILE);
    let text = match std::fs::read(&path) {
        Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => String::new(),
        Err(e) => return Err(e),
    };
    let (held, bad) = parse_disabled(&text);
    bad.iter()
        .for_each(|why| log::error!("{}: {why}, skipped", path.display()));
    log::info!("{} endpoints are disabled", held.len());
    Ok(held)
}

/// Takes an endpoint out or puts it back. True: that was a change.
pub fn set_disabled_flag(
    held: &mut std::collections::BTreeSet<String>,
    name: &str,
    out: bool,
) -> bool {
    if out {
        held.insert(name.to_string())
    } else {
        held.remove(name)
    }
}

/// What changes with the list of endpoints held out each time that it is written: none while there is none.
pub fn disabled_stamp(folder: &std::path::Path) -> Option<(u64, std::time::SystemTime)> {
    use std::os::unix::fs::MetadataExt;
    let file = std::fs::metadata(folder.join(DISABLED_FILE)).ok()?;
    Some((file.ino(), file.modified().ok()?))
}

/// Writes the endpoints held out beside the file, then puts it in its place: a reader finds the old list or the new.
pub fn write_disabled(
    folder: &std::path::Path,
    held: &std::collections::BTreeSet<String>,
) -> std::io::Result<()> {
    let next = folder.join(format!("{DISABLED_FILE}.{}", std::process::id()));
    let text: String = held.iter().map(|id| format!("{id}\n")).collect();
    std::fs::write(&next, text).and_then(|()| std::fs::rename(&next, folder.join(DISABLED_FILE)))
}

impl Daemon {
    /// Takes up the list of endpoints held out where another process of this folder has written it: a call reaches the old
    /// or the new version while both run, and binds both.
    pub fn refresh_disabled(&mut self) {
        let stamp = disabled_stamp(&self.state_folder);
        if stamp != self.disabled_stamp {
            match load_disabled(&self.state_folder) {
                Ok(mut held) => {
                    self.disabled_stamp = stamp;
                    for (name, &out) in &self.unsaved_disabled {
                        set_disabled_flag(&mut held, name, out);
                    }
                    self.replace_disabled(held);
                }
                Err(e) => log::error!("{DISABLED_FILE}: cannot be read: {e}"),
            }
        }
        // Said when the call came.
        let _ = self.save_disabled();
    }

    /// Writes the list of endpoints held out where a call has changed it. It is in force before: the platform counts the
    /// endpoint as out a second after the call, whatever becomes of the file. A write that fails is tried again whenever
    /// the list is looked at.
    pub(crate) fn save_disabled(&mut self) -> std::io::Result<()> {
        if !self.unsaved_disabled.is_empty() {
            write_disabled(&self.state_folder, &self.runtime.disabled)?;
            self.unsaved_disabled.clear();
            self.disabled_stamp = disabled_stamp(&self.state_folder);
        }
        Ok(())
    }

    /// From now on these are held out by hand and no others.
    pub(crate) fn replace_disabled(&mut self, held: std::collections::BTreeSet<String>) {
        let (now, runtime) = (self.runtime.now, &mut self.runtime);
        let before = std::mem::replace(&mut runtime.disabled, held);
        let changed: Vec<String> = before
            .symmetric_difference(&runtime.disabled)
            .cloned()
            .collect();
        for name in changed {
            let out = runtime.disabled.contains(&name);
            if let Some(id) = runtime.endpoints.find(&name) {
                self.dispatcher.set_disabled(now, id, out, runtime);
            }
        }
    }
}
