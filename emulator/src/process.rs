//! A router's process: started, watched by its log, signalled by its id, and ended. The one owner of all three for the
//! lab, the rig and the tests.

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

/// A router that has not said by then that it listens does not start.
const STARTS: Duration = Duration::from_secs(10);
/// Between two looks at whether a process has ended: the system tells only its parent, and only when asked.
const LOOKS: Duration = Duration::from_millis(5);

/// What is done to a process from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGTERM: it finishes what it has taken and ends.
    Term,
    /// SIGKILL: it is gone at once.
    Kill,
    /// SIGSTOP: it stands still, its connections stay open.
    Stop,
    /// SIGCONT: it goes on.
    Continue,
    /// SIGHUP: it reads its files again.
    Reload,
    /// SIGUSR1: it tells its log what it believes, where it talks with other routers.
    LogState,
}

#[derive(Default)]
struct Said {
    lines: Vec<String>,
    /// Its log is at an end.
    over: bool,
}

#[derive(Default)]
struct Log {
    said: Mutex<Said>,
    news: Condvar,
}

impl Log {
    fn said(&self) -> MutexGuard<'_, Said> {
        self.said.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until something is found in the log; none once it is over or the time is.
    fn find<T>(&self, within: Duration, mut what: impl FnMut(&[String]) -> Option<T>) -> Option<T> {
        let until = Instant::now() + within;
        let mut said = self.said();
        loop {
            if let Some(found) = what(&said.lines) {
                return Some(found);
            }
            let left = until.saturating_duration_since(Instant::now());
            if said.over || left.is_zero() {
                return None;
            }
            said = self
                .news
                .wait_timeout(said, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

/// A folder of its own for a process's files. It goes with its owner.
pub struct Folder(PathBuf);

impl Folder {
    /// A new folder whose name begins so.
    ///
    /// # Errors
    /// It could not be made.
    pub fn new(name: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("plovercove-{}-{name}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a file that only its owner may read.
    ///
    /// # Errors
    /// It could not be written.
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

/// A running router.
pub struct Process {
    child: Child,
    log: Arc<Log>,
    listen: SocketAddr,
    fronts: Vec<SocketAddr>,
}

/// The address that a line names after this word, in the text form of the log or in JSON.
fn address(line: &str, word: &str) -> Option<SocketAddr> {
    let (_, rest) = line
        .split_once(&format!("{word}="))
        .or_else(|| line.split_once(&format!("\"{word}\":\"")))?;
    rest.split([' ', '"']).next()?.parse().ok()
}

impl Process {
    /// Starts a router with this configuration and waits until it serves.
    ///
    /// # Errors
    /// It ended, or did not say in time that it listens; with the last line that it said.
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
        if let Err(e) = orphan_reaper::started(child.id()) {
            let _ = child.kill();
            let _ = child.wait();
            return Err(format!(
                "nobody ends the router if this process is killed: {e}"
            ));
        }
        let err = child.stderr.take();
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut process = Process {
            child,
            log: Arc::default(),
            listen: nowhere,
            fronts: Vec::new(),
        };
        let err = err.ok_or("its log cannot be read")?;
        let log = Arc::clone(&process.log);
        // The log is read to its end, or the program would wait for a reader.
        std::thread::spawn(move || {
            for line in BufReader::new(err).lines().map_while(Result::ok) {
                log.said().lines.push(line);
                log.news.notify_all();
            }
            log.said().over = true;
            log.news.notify_all();
        });
        // The platform's listener is told of last.
        let listen = process.log.find(STARTS, |lines| {
            lines.iter().find_map(|line| address(line, "listen"))
        });
        let Some(listen) = listen else {
            let last = process.log.said().lines.last().cloned().unwrap_or_default();
            return Err(format!("the router does not start: {last}"));
        };
        process.listen = listen;
        process.fronts = process
            .lines()
            .iter()
            .filter_map(|line| address(line, "address"))
            .collect();
        Ok(process)
    }

    /// Where the platform's clients come.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Where those of further fronts come, in the order of the operators' file.
    pub fn fronts(&self) -> &[SocketAddr] {
        &self.fronts
    }

    /// The number of its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The lines of its log so far.
    pub fn lines(&self) -> Vec<String> {
        self.log.said().lines.clone()
    }

    /// The lines of its log after so many.
    pub fn since(&self, count: usize) -> Vec<String> {
        self.log
            .said()
            .lines
            .get(count..)
            .unwrap_or_default()
            .to_vec()
    }

    /// Waits for a line of its log that holds these words.
    pub fn wait_for_line(&self, words: &str, within: Duration) -> Option<String> {
        self.log.find(within, |lines| {
            lines.iter().find(|line| line.contains(words)).cloned()
        })
    }

    /// Does this to it. It may have ended already, which is no fault.
    pub fn send_signal(&mut self, blow: ProcessSignal) {
        // Danger: the number of a process that has been waited for may be another's by now.
        if self.status().is_some() {
            return;
        }
        let signal = match blow {
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

    /// How it ended, if it has.
    fn status(&mut self) -> Option<ExitStatus> {
        let status = self.child.try_wait().ok().flatten()?;
        orphan_reaper::ended(self.child.id());
        Some(status)
    }

    /// Waits for its end.
    pub fn wait_for_exit(&mut self, within: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + within;
        loop {
            if let Some(status) = self.status() {
                return Some(status);
            }
            if Instant::now() >= until {
                return None;
            }
            std::thread::sleep(LOOKS);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Its own child, stopped or not: whoever wants it to end in peace has told it so before.
        let _ = self.child.kill();
        let _ = self.child.wait();
        orphan_reaper::ended(self.child.id());
    }
}

#[cfg(test)]
mod tests;
