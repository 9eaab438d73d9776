//! Signals that arrive while a host starts.

use std::fs::File;
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::sys::stat::Mode;
use nix::unistd::{Pid, mkfifo};
use tempfile::TempDir;

/// Guards against a process that SIGHUP ends because it arrives before the settings have been read.
#[test]
fn a_reload_during_the_start_does_not_end_the_process() {
    let folder = TempDir::new().expect("a temporary folder");
    let settings = folder.path().join("settings.yaml");
    mkfifo(&settings, Mode::S_IRWXU).expect("a pipe");
    let mut child = Command::new(super::program())
        .arg("serve")
        .env("TREFOILCART_NODE_FILE", &settings)
        .stdout(Stdio::null())
        .spawn()
        .expect("trefoild starts");
    // Completes once the process has opened the settings, whose end it waits for.
    let pipe = File::options().write(true).open(&settings);
    let pipe = pipe.expect("the process reads its settings");
    let pid = Pid::from_raw(i32::try_from(child.id()).expect("the pid fits into an i32"));
    kill(pid, Signal::SIGHUP).expect("the process exists");
    thread::sleep(Duration::from_millis(300));
    let ended = child.try_wait().expect("the process is a child");
    child.kill().expect("the process runs or has ended");
    child.wait().expect("the process ends");
    drop(pipe);
    assert_eq!(ended, None, "it has ended");
}
