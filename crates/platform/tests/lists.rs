//! Discovery lists are read leniently: a malformed entry is skipped without affecting the other entries.

use roseproxy_decision::interface::{Readiness, Update};
use roseproxy_platform::discovery::{from_json, read, ListUpdate};

const VALID_ENTRY: &str = r#"{"id":"s-1","host_port":"127.0.0.1:70","locality":"a","flavor":"m","cell":3,"phase":"terminating","size":1.5,"up_since_ms":12}"#;

fn list(members: &str) -> String {
    format!(r#"{{"extra":{{"a":[1]}},"revision":7,"complete":true,"members":{members}}}"#)
}

/// Reads a list from text and from a parsed value, and requires the same result.
fn read_both_ways(text: &str) -> ListUpdate {
    let update = read(text.as_bytes()).expect("a list");
    let value = serde_json::from_str(text).expect("JSON");
    assert_eq!(from_json(&value).expect("a list"), update);
    update
}

#[test]
fn all_fields_of_an_entry_are_read() {
    let update = read_both_ways(&list(&format!("[{VALID_ENTRY}]")));
    assert_eq!((update.revision, update.update, update.unreadable_entries), (7, Update::Complete, 0));
    let target = &update.targets[0];
    assert_eq!((target.address.port(), target.cell, target.power), (70, 3, 1.5));
    assert_eq!((target.started_at, target.readiness), (Some(12.0), Readiness::Draining));
}

#[test]
fn a_malformed_entry_does_not_affect_other_entries() {
    let phase = |phase: &str| VALID_ENTRY.replace("\"terminating\"", phase);
    let malformed = [
        "null",
        "true",
        "5",
        "-5",
        "1.5",
        "\"text\"",
        "[]",
        "[[1],{}]",
        "{}",
        r#"{"id":5}"#,
        &phase("\"unheard\""),
        &phase("null"),
        &phase("[1]"),
        &VALID_ENTRY.replace("127.0.0.1:70", "nowhere"),
        &VALID_ENTRY.replace("s-1", ""),
    ];
    for entry in malformed {
        let update = read_both_ways(&list(&format!("[{entry},{VALID_ENTRY},{entry}]")));
        assert_eq!(
            (update.targets.len(), update.unreadable_entries, update.update),
            (1, 2, Update::Changes),
            "{entry}"
        );
    }
}

#[test]
fn fields_of_the_wrong_type_get_their_defaults() {
    let entry = VALID_ENTRY
        .replace("\"cell\":3", "\"cell\":-3,\"other\":[{}]")
        .replace("1.5", "\"large\"")
        .replace(":12", ":null")
        .replace("\"a\"", "{\"zone\":1}");
    let target = &read_both_ways(&list(&format!("[{entry}]"))).targets[0];
    assert_eq!((target.cell, target.power, target.started_at), (0, 1.0, None));
    let escaped = VALID_ENTRY.replace("s-1", "s\\u002d1");
    assert_eq!(
        read_both_ways(&list(&format!("[{escaped}]"))).targets,
        read_both_ways(&list(&format!("[{VALID_ENTRY}]"))).targets
    );
}

#[test]
fn a_malformed_list_is_an_error_that_names_the_key() {
    let valid = list("[]");
    for (text, key) in [
        (valid.replace("7", "7.5"), "revision"),
        (valid.replace("true", "1"), "complete"),
        (valid.replace("[]}", "{}}"), "members"),
        ("[]".into(), "revision"),
        ("5".into(), "revision"),
        (valid.replace('}', ""), "JSON"),
    ] {
        let error = read(text.as_bytes()).expect_err(&text);
        assert!(error.contains(key), "{text}: {error}");
    }
}
