//! Unit tests of `process`.

use super::*;

#[test]
fn addresses_are_found_in_both_formats_of_the_log() {
    let there: SocketAddr = "127.0.0.1:5432".parse().expect("an address");
    for line in [
        "INFO serving name=\"n\" listen=127.0.0.1:5432",
        "{\"listen\":\"127.0.0.1:5432\",\"x\":1}",
    ] {
        assert_eq!(address_field(line, "listen"), Some(there));
        assert_eq!(address_field(line, "address"), None);
    }
}

#[test]
fn a_process_that_exits_at_once_is_reported_with_its_last_log_line() {
    let folder = Folder::new("ends-at-once").expect("a folder");
    let path = folder.write("config.json", "{}").expect("a file");
    let started = Process::start(Path::new("/bin/sh"), &path, |c| {
        c.args(["-c", "echo no good >&2"])
    });
    assert_eq!(
        started.err().as_deref(),
        Some("the router does not start: no good")
    );
    let gone = folder.path().to_path_buf();
    drop(folder);
    assert!(!gone.exists());
}

#[test]
fn a_stopped_process_continues_and_exits_and_gets_no_further_signal() {
    let folder = Folder::new("stopped").expect("a folder");
    let path = folder.write("config.json", "{}").expect("a file");
    let script = "echo listen=127.0.0.1:1 >&2; read _; exit 3";
    let mut process = Process::start(Path::new("/bin/sh"), &path, |c| {
        c.args(["-c", script]).stdin(Stdio::piped())
    })
    .expect("it logs where it listens");
    process.send_signal(ProcessSignal::Stop);
    drop(process.child.stdin.take());
    assert_eq!(
        process.wait_for_exit(Duration::from_millis(50)),
        None,
        "it is stopped"
    );
    process.send_signal(ProcessSignal::Continue);
    let status = process
        .wait_for_exit(MAX_START_TIME)
        .expect("it goes on to its end");
    assert_eq!(status.code(), Some(3));
    process.send_signal(ProcessSignal::Kill);
    assert!(
        process
            .wait_for_line("never said", MAX_START_TIME)
            .is_none(),
        "its log has ended, so there is no wait"
    );
}
