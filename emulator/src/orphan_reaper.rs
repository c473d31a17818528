//! Kills the router processes that are left when the process that started them ends, even if that one was killed with
//! SIGKILL.
//!
//! A shell reads from a pipe which processes were started and which have ended. The system closes the other end of the pipe
//! when its owner ends for any reason, and the shell then kills the remaining processes.

use std::io::{self, Write};
use std::process::{ChildStdin, Command, Stdio};
use std::sync::{LazyLock, Mutex, PoisonError};

/// Script that reads `+ ID` and `- ID`. At the end of its input it kills the processes that were started and have not
/// ended. It ignores the signals that terminate its owner, because it has to outlive the owner.
const WATCHER_SCRIPT: &str = r#"
trap '' INT TERM HUP
running=" "
while read -r change id; do
    case $change in
        +) running="$running$id " ;;
        -) running="${running/ $id / }" ;;
    esac
done
[ -z "${running// /}" ] || kill -9 $running
"#;

static WATCHER: LazyLock<Mutex<io::Result<ChildStdin>>> =
    LazyLock::new(|| Mutex::new(start_watcher()));

fn start_watcher() -> io::Result<ChildStdin> {
    let mut shell = Command::new("bash")
        .args(["-c", WATCHER_SCRIPT])
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    shell
        .stdin
        .take()
        .ok_or_else(|| io::Error::other("the shell has no input"))
}

fn notify_watcher(change: char, id: u32) -> io::Result<()> {
    let mut watcher = WATCHER.lock().unwrap_or_else(PoisonError::into_inner);
    match &mut *watcher {
        Ok(input) => writeln!(input, "{change} {id}"),
        Err(e) => Err(io::Error::new(e.kind(), e.to_string())),
    }
}

/// Registers a process that has to end with this one.
///
/// # Errors
/// The watcher is not running.
pub(crate) fn register(id: u32) -> io::Result<()> {
    notify_watcher('+', id)
}

/// Removes a process that has ended and was waited for. The system may reuse its id from now on.
pub(crate) fn unregister(id: u32) {
    // If there is no watcher, no process was registered either.
    let _ = notify_watcher('-', id);
}
