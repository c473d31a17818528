//! Unit tests of `file`.

use super::*;

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("plovercove-{}-file-{name}", std::process::id()));
    fs::create_dir_all(&path).expect("a folder for temporary files");
    path
}

fn kept(name: &str) -> Vec<u8> {
    let kept = PersistedState {
        installation: "here".into(),
        name: name.into(),
        generation: 1,
        token_ceiling: plovercove_fencing::Token(64),
        max_lease_ms: 1_000,
        sealed_below: 0,
    };
    kept.encode()
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
fn a_torn_file_is_written_over_and_anothers_is_not() {
    // Danger: a decider that goes on with half a file votes twice; one that writes over another's file takes its votes.
    let folder = folder("torn");
    for (name, bytes, over) in [
        ("none", None, true),
        ("torn", Some(kept("d0")[..20].to_vec()), true),
        ("other", Some(kept("d1")), false),
    ] {
        let path = folder.join(name);
        if let Some(bytes) = &bytes {
            fs::write(&path, bytes).expect("written");
        }
        let (mut file, read) = File::read(&path, &rules(), "d0");
        assert_eq!(read.is_ok(), bytes.is_none(), "{name}");
        assert!(read.err().is_none_or(|e| !e.help().is_empty()));
        assert!(
            matches!(file.keep(1, Some(kept("d0"))), Ok(wrote) if wrote == over),
            "{name}"
        );
        let (_, read) = File::read(&path, &rules(), "d0");
        assert_eq!(matches!(read, Ok(Some(_))), over, "{name}");
    }
    fs::remove_dir_all(&folder).expect("its own");
}

#[test]
fn what_cannot_be_written_is_told_and_tried_again() {
    // Danger: a vote that leaves before its file is whole is forgotten at the next start, and given twice.
    let folder = folder("full");
    let path = folder.join("missing").join("file");
    let (mut file, _) = File::read(&path, &rules(), "d0");
    let fault = file
        .keep(5, Some(kept("d0")))
        .expect_err("there is no folder");
    assert!(fault.help().contains("does not vote"), "{fault}");
    assert_eq!(
        (file.next(), file.keep(6, None).ok()),
        (5 + AGAIN, Some(false))
    );
    fs::create_dir_all(path.parent().expect("it has one")).expect("made");
    assert!(matches!(file.keep(5 + AGAIN, None), Ok(true)));
    assert_eq!((file.next(), file.written.0), (Time::MAX, 1));
    fs::remove_dir_all(&folder).expect("its own");
}
