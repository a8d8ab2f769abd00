//! The sub-command that runs a control process.

use rustix::process::{Pid, Signal, kill_process};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

fn control(file: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bellsill"));
    command
        .args(["control", "--log", "warn", "--config"])
        .arg(file)
        .stderr(Stdio::piped());
    command
}

fn figures(address: std::net::SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(b"GET /v2/figures HTTP/1.1\r\nConnection: close\r\n\r\n")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).map(|_| answer)
}

#[test]
fn a_control_process_serves_until_sigterm_and_names_a_bad_field() {
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("control-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("control.toml");
    // An address of its own, so that nothing else is ever given its port.
    let pid = std::process::id();
    let address = format!("127.{}.{}.250:7400", 16 + pid % 200, pid / 200 % 250)
        .parse()
        .unwrap();
    let state = folder.join("state");
    let text = format!(
        "name = \"control-1\"\nlisten = \"{address}\"\nstate = \"{}\"\nrole = \"writer\"\n\
         [[zones]]\nname = \"north-1\"\nregion = \"north\"\n",
        state.display()
    );
    std::fs::write(&file, text.replace("\"writer\"", "\"follower\"")).unwrap();
    let end = control(&file).output().unwrap();
    let error = String::from_utf8(end.stderr).unwrap();
    assert!(
        end.status.code() == Some(2) && error.contains("field writer"),
        "{error}"
    );

    std::fs::write(&file, text).unwrap();
    let mut child = control(&file).spawn().unwrap();
    let begun = Instant::now();
    while !figures(address).is_ok_and(|answer| answer.contains("\"version\":0")) {
        assert!(
            begun.elapsed() < Duration::from_secs(20),
            "it does not answer"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    let second = control(&file).output().unwrap();
    assert_eq!(second.status.code(), Some(1), "its address is taken");
    kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(0));
}
