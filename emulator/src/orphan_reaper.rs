//! Routers do not outlive the process that started them, also where that one is killed and can end nobody.
//!
//! A shell reads from a pipe which processes were started and which have ended. The pipe's other end closes with its owner,
//! however that dies, and the shell kills those that are left.

use std::io::{self, Write};
use std::process::{ChildStdin, Command, Stdio};
use std::sync::{LazyLock, Mutex, PoisonError};

/// Reads `+ ID` and `- ID`; at the end of its input it kills the processes that were started and have not ended. What ends its
/// owner in peace must not end it first.
const WATCH: &str = r#"
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

static WATCHER: LazyLock<Mutex<io::Result<ChildStdin>>> = LazyLock::new(|| Mutex::new(watcher()));

fn watcher() -> io::Result<ChildStdin> {
    let mut shell = Command::new("bash")
        .args(["-c", WATCH])
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    shell
        .stdin
        .take()
        .ok_or_else(|| io::Error::other("the shell has no input"))
}

fn tell(change: char, id: u32) -> io::Result<()> {
    let mut watcher = WATCHER.lock().unwrap_or_else(PoisonError::into_inner);
    match &mut *watcher {
        Ok(input) => writeln!(input, "{change} {id}"),
        Err(e) => Err(io::Error::new(e.kind(), e.to_string())),
    }
}

/// A process was started that ends with this one.
///
/// # Errors
/// Nobody can watch it.
pub(crate) fn started(id: u32) -> io::Result<()> {
    tell('+', id)
}

/// It has ended and was waited for: its number may be another's from now on.
pub(crate) fn ended(id: u32) {
    // Without a watcher nothing was started.
    let _ = tell('-', id);
}
