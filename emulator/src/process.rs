//! Starts a router process, reads its log, sends it signals and waits for its exit. Experiments and tests all use this
//! module for router processes.

use crate::orphan_reaper;
use rustix::process::{Pid, Signal, kill_process};
use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum time until a router logs that it listens. A start that takes longer has failed.
const MAX_START_TIME: Duration = Duration::from_secs(10);
/// Interval at which the exit of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGTERM: the process finishes the requests that it has received, and exits.
    Term,
    /// SIGKILL: the process ends at once.
    Kill,
    /// SIGSTOP: the process is stopped, and its connections stay open.
    Stop,
    /// SIGCONT: the stopped process continues.
    Continue,
    /// SIGHUP: the process reads its files again.
    Reload,
    /// SIGUSR1: a process that gossips with other routers logs its gossip state.
    LogState,
}

#[derive(Default)]
struct LogContent {
    lines: Vec<String>,
    /// Whether the log has ended.
    is_complete: bool,
}

#[derive(Default)]
struct Log {
    content: Mutex<LogContent>,
    changed: Condvar,
}

impl Log {
    fn content(&self) -> MutexGuard<'_, LogContent> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until `search` finds something in the log. Returns `None` if the log ends or the time is over first.
    fn find<T>(
        &self,
        within: Duration,
        mut search: impl FnMut(&[String]) -> Option<T>,
    ) -> Option<T> {
        let until = Instant::now() + within;
        let mut content = self.content();
        loop {
            if let Some(found) = search(&content.lines) {
                return Some(found);
            }
            let left = until.saturating_duration_since(Instant::now());
            if content.is_complete || left.is_zero() {
                return None;
            }
            content = self
                .changed
                .wait_timeout(content, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

/// A temporary folder for the files of a process. It is removed when this value is dropped.
pub struct Folder(PathBuf);

impl Folder {
    /// Creates a folder whose name contains this name and the id of the current process.
    ///
    /// # Errors
    /// The folder cannot be created.
    pub fn new(name: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("plovercove-{}-{name}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a file that only its owner may read and write.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn write(&self, file: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.0.join(file);
        fs::write(&path, text)?;
        fs::set_permissions(&path, fs::Permissions::from_mode(0o600))?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A running router process. It is killed when this value is dropped.
pub struct Process {
    child: Child,
    log: Arc<Log>,
    listen: SocketAddr,
    fronts: Vec<SocketAddr>,
}

/// Returns the address in a field of a log line, in the text format or in the JSON format of the log.
fn address_field(line: &str, field: &str) -> Option<SocketAddr> {
    let (_, rest) = line
        .split_once(&format!("{field}="))
        .or_else(|| line.split_once(&format!("\"{field}\":\"")))?;
    rest.split([' ', '"']).next()?.parse().ok()
}

impl Process {
    /// Starts a router with this configuration and waits until it listens. `more` can add arguments and environment variables
    /// to the command.
    ///
    /// # Errors
    /// The process exited, or did not log in time that it listens. The text has the last line of its log.
    pub fn start(
        program: &Path,
        config: &Path,
        more: impl FnOnce(&mut Command) -> &mut Command,
    ) -> Result<Self, String> {
        let mut command = Command::new(program);
        command
            .env("PROXY_CONFIG", config)
            .stderr(Stdio::piped())
            .stdout(Stdio::null());
        let mut child = more(&mut command)
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        if let Err(e) = orphan_reaper::register(child.id()) {
            let _ = child.kill();
            let _ = child.wait();
            return Err(format!(
                "nobody ends the router if this process is killed: {e}"
            ));
        }
        let stderr = child.stderr.take();
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut process = Process {
            child,
            log: Arc::default(),
            listen: unknown,
            fronts: Vec::new(),
        };
        let stderr = stderr.ok_or("its log cannot be read")?;
        let log = Arc::clone(&process.log);
        // The log is read to its end, because the process would block on a full pipe.
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                log.content().lines.push(line);
                log.changed.notify_all();
            }
            log.content().is_complete = true;
            log.changed.notify_all();
        });
        // The main listener is logged last, so the further listeners are known once it is.
        let listen = process.log.find(MAX_START_TIME, |lines| {
            lines.iter().find_map(|line| address_field(line, "listen"))
        });
        let Some(listen) = listen else {
            let last = process
                .log
                .content()
                .lines
                .last()
                .cloned()
                .unwrap_or_default();
            return Err(format!("the router does not start: {last}"));
        };
        process.listen = listen;
        process.fronts = process
            .lines()
            .iter()
            .filter_map(|line| address_field(line, "address"))
            .collect();
        Ok(process)
    }

    /// Returns the address of the main listener.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Returns the addresses of the further listeners, in the order of the operators' file.
    pub fn fronts(&self) -> &[SocketAddr] {
        &self.fronts
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the lines of the log so far.
    pub fn lines(&self) -> Vec<String> {
        self.log.content().lines.clone()
    }

    /// Returns the lines of the log without the first `count` ones.
    pub fn since(&self, count: usize) -> Vec<String> {
        self.log
            .content()
            .lines
            .get(count..)
            .unwrap_or_default()
            .to_vec()
    }

    /// Waits for a log line that contains these words, and returns it.
    pub fn wait_for_line(&self, words: &str, within: Duration) -> Option<String> {
        self.log.find(within, |lines| {
            lines.iter().find(|line| line.contains(words)).cloned()
        })
    }

    /// Sends a signal to the process. Does nothing if it has already exited.
    pub fn send_signal(&mut self, signal: ProcessSignal) {
        // The system may have given the id of a process that was waited for to another one, which must not get the signal.
        if self.status().is_some() {
            return;
        }
        let signal = match signal {
            ProcessSignal::Term => Signal::TERM,
            ProcessSignal::Kill => Signal::KILL,
            ProcessSignal::Stop => Signal::STOP,
            ProcessSignal::Continue => Signal::CONT,
            ProcessSignal::Reload => Signal::HUP,
            ProcessSignal::LogState => Signal::USR1,
        };
        if let Some(id) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(id, signal);
        }
    }

    /// Returns the exit status, if the process has exited.
    fn status(&mut self) -> Option<ExitStatus> {
        let status = self.child.try_wait().ok().flatten()?;
        orphan_reaper::unregister(self.child.id());
        Some(status)
    }

    /// Waits for the exit of the process. Returns `None` if it does not exit in this time.
    pub fn wait_for_exit(&mut self, within: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + within;
        loop {
            if let Some(status) = self.status() {
                return Some(status);
            }
            if Instant::now() >= until {
                return None;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL also ends a stopped process. For a graceful shutdown, the owner sends SIGTERM and waits before this.
        let _ = self.child.kill();
        let _ = self.child.wait();
        orphan_reaper::unregister(self.child.id());
    }
}

#[cfg(test)]
mod tests;
