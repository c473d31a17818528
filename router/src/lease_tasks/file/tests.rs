//! Unit tests of `file`.

use super::*;

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("plovercove-{}-file-{name}", std::process::id()));
    fs::create_dir_all(&path).expect("a folder for temporary files");
    path
}

fn state_bytes(name: &str) -> Vec<u8> {
    let state = PersistedState {
        installation: "here".into(),
        name: name.into(),
        generation: 1,
        token_ceiling: plovercove_fencing::Token(64),
        max_lease_ms: 1_000,
        sealed_below: 0,
    };
    state.encode()
}

fn rules() -> Rules {
    let mut rules = Rules {
        installation: "here".into(),
        ..Rules::default()
    };
    rules.voters.generation = 1;
    rules
}

#[test]
fn a_torn_file_is_overwritten_and_another_routers_is_not() {
    // A voter that continues with half a file may vote twice. A voter that overwrites another router's file destroys the
    // record of that router's votes.
    let folder = folder("torn");
    for (name, bytes, overwritten) in [
        ("none", None, true),
        ("torn", Some(state_bytes("d0")[..20].to_vec()), true),
        ("other", Some(state_bytes("d1")), false),
    ] {
        let path = folder.join(name);
        if let Some(bytes) = &bytes {
            fs::write(&path, bytes).expect("written");
        }
        let (mut file, result) = StateFile::read(&path, &rules(), "d0");
        assert_eq!(result.is_ok(), bytes.is_none(), "{name}");
        assert!(result.err().is_none_or(|e| !e.help().is_empty()));
        assert!(
            matches!(file.persist(1, Some(state_bytes("d0"))), Ok(is_written) if is_written == overwritten),
            "{name}"
        );
        let (_, result) = StateFile::read(&path, &rules(), "d0");
        assert_eq!(matches!(result, Ok(Some(_))), overwritten, "{name}");
    }
    fs::remove_dir_all(&folder).expect("its own");
}

#[test]
fn a_failed_write_is_reported_and_retried() {
    // A vote that is sent before the file is complete is lost at the next start, and the router may vote a second time.
    let folder = folder("full");
    let path = folder.join("missing").join("file");
    let (mut file, _) = StateFile::read(&path, &rules(), "d0");
    let fault = file
        .persist(5, Some(state_bytes("d0")))
        .expect_err("there is no folder");
    assert!(fault.help().contains("does not vote"), "{fault}");
    assert_eq!(
        (file.next_deadline(), file.persist(6, None).ok()),
        (5 + WRITE_RETRY_AFTER_US, Some(false))
    );
    fs::create_dir_all(path.parent().expect("it has one")).expect("made");
    assert!(matches!(
        file.persist(5 + WRITE_RETRY_AFTER_US, None),
        Ok(true)
    ));
    assert_eq!((file.next_deadline(), file.writes.count), (Time::MAX, 1));
    fs::remove_dir_all(&folder).expect("its own");
}
