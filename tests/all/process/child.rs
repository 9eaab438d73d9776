//! Child processes.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use super::deployment::STATE_TIMEOUT;

/// A child process that is killed when it is dropped.
pub struct Process {
    child: Child,
    line: String,
}

impl Process {
    /// Starts a process without waiting for its first line of output.
    pub fn spawn(command: &mut Command) -> Self {
        let child = command.stdout(Stdio::null()).spawn();
        Self {
            child: child.expect("the process starts"),
            line: String::new(),
        }
    }

    /// Starts a process and waits for its first line of output.
    pub fn start(command: &mut Command) -> Self {
        let child = command.stdout(Stdio::piped()).spawn();
        let mut process = Self {
            child: child.expect("the process starts"),
            line: String::new(),
        };
        let out = process.child.stdout.take().expect("stdout is piped");
        let (sender, first) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let (mut out, mut line) = (BufReader::new(out), String::new());
            let read = out.read_line(&mut line).map(|_| line);
            // The test may have timed out.
            let _ = sender.send(read);
            // A full pipe would block the process, so the rest of the output is read and dropped.
            out.read_to_end(&mut Vec::new())
        });
        let line = first.recv_timeout(STATE_TIMEOUT);
        let line = line.unwrap_or_else(|_| panic!("no first line within {STATE_TIMEOUT:?}"));
        let line = line.expect("the first line");
        line.trim().clone_into(&mut process.line);
        process
    }

    /// Returns the address after `name` in the first line of output.
    pub fn address(&self, name: &str) -> SocketAddr {
        let field = self.line.split(' ').find_map(|w| w.strip_prefix(name));
        let field = field.unwrap_or_else(|| panic!("{name} in {:?}", self.line));
        field.parse().expect("an address")
    }

    /// Returns the listen address of a stand-in.
    pub fn listening(&self) -> SocketAddr {
        let address = self.line.strip_prefix("listening ").expect("a stand-in");
        address.parse().expect("an address")
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).expect("pid"));
        kill(pid, signal).expect("the process exists");
    }

    /// Returns true if the process has not exited.
    pub fn is_running(&self) -> bool {
        // A zombie still accepts signals, so its state is read.
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        stat.is_ok_and(|s| !s.contains(") Z "))
    }

    /// Waits for the process to exit by itself.
    pub fn wait(&mut self) -> ExitStatus {
        let until = Instant::now() + STATE_TIMEOUT;
        loop {
            match self.child.try_wait().expect("the child can be waited for") {
                Some(status) => return status,
                None if Instant::now() > until => panic!("the process did not end: {}", self.line),
                None => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
