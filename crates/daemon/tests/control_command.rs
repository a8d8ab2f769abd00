//! Tests of the `control` subcommand, which runs a control process.

use bellsill_test_support::dispatcher_process::KillOnDrop;
use bellsill_test_support::faults::Faults;
use bellsill_test_support::faults::words::{ANY_SOCKET, POLL_MODIFY, POLL_WAIT};
use bellsill_test_support::wait::wait_for;
use rustix::process::{Pid, Signal, kill_process};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

fn control_command(file: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bellsill"));
    command
        .args(["control", "--log", "warn", "--config"])
        .arg(file)
        .stderr(Stdio::piped());
    command
}

/// A directory for a control process, and the text of a valid configuration with its path and address.
struct ControlSetup {
    directory: PathBuf,
    file: PathBuf,
    address: SocketAddr,
    text: String,
}

impl ControlSetup {
    fn new(name: &str, last_number: u8) -> ControlSetup {
        let pid = std::process::id();
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{pid}"));
        std::fs::create_dir_all(&directory).unwrap();
        // A loopback address derived from the process id, so that no other process is given its port.
        let address = format!(
            "127.{}.{}.{last_number}:7400",
            16 + pid % 200,
            pid / 200 % 250
        );
        let text = format!(
            "name = \"control-1\"\nlisten = \"{address}\"\nstate = \"{}\"\nrole = \"writer\"\n\
             [[zones]]\nname = \"north-1\"\nregion = \"north\"\n",
            directory.join("state").display()
        );
        ControlSetup {
            file: directory.join("control.toml"),
            directory,
            address: address.parse().unwrap(),
            text,
        }
    }
}

fn fetch_figures(address: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(b"GET /v2/figures HTTP/1.1\r\nConnection: close\r\n\r\n")?;
    let mut response = String::new();
    stream.read_to_string(&mut response).map(|_| response)
}

#[test]
fn a_control_process_serves_until_sigterm_and_names_an_invalid_field() {
    let ControlSetup {
        file,
        address,
        text,
        ..
    } = ControlSetup::new("control", 250);
    std::fs::write(&file, text.replace("\"writer\"", "\"follower\"")).unwrap();
    let output = control_command(&file).output().unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(
        output.status.code() == Some(2) && error.contains("field writer"),
        "{error}"
    );

    std::fs::write(&file, text).unwrap();
    let mut child = control_command(&file).spawn().unwrap();
    let started = Instant::now();
    while !fetch_figures(address).is_ok_and(|response| response.contains("\"version\":0")) {
        assert!(
            started.elapsed() < Duration::from_secs(20),
            "the control process does not respond"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    let second = control_command(&file).output().unwrap();
    assert_eq!(second.status.code(), Some(1), "the address is in use");
    kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

/// Issue 50, class of the cause: a failed call of its event loop ended a control process.
#[test]
fn a_control_process_goes_on_though_calls_of_its_event_loop_fail_for_a_moment() {
    let ControlSetup {
        directory,
        file,
        address,
        text,
    } = ControlSetup::new("control-f", 249);
    std::fs::write(&file, text).unwrap();
    let faults = Faults::new(&directory, 1);
    let mut command = control_command(&file);
    faults.preload(&mut command, &directory.join("state"));
    let mut child = KillOnDrop(command.spawn().unwrap());
    wait_for("the control process", || fetch_figures(address).is_ok());
    for (call, count) in [(POLL_WAIT, 3), (POLL_MODIFY, 1), (POLL_MODIFY, 5)] {
        faults.fail_next(call, count, ANY_SOCKET);
        wait_for("the failed calls and a response", || {
            let status = child.0.try_wait().unwrap();
            assert_eq!(status, None, "the process has exited");
            faults.have_failed(call) && fetch_figures(address).is_ok()
        });
    }
    child.kill();
    std::fs::remove_dir_all(&directory).unwrap();
}
