//! Lists are read as loosely as they come: what is wrong with one entry costs that entry alone.

use roseproxy_decision::interface::{Readiness, Update};
use roseproxy_platform::discovery::{from_json, read, Listing};

const GOOD: &str = r#"{"id":"s-1","host_port":"127.0.0.1:70","locality":"a","flavor":"m","cell":3,"phase":"terminating","size":1.5,"up_since_ms":12}"#;

fn list(members: &str) -> String {
    format!(r#"{{"extra":{{"a":[1]}},"revision":7,"complete":true,"members":{members}}}"#)
}

/// The same from a text and from a value that was read before.
fn both(text: &str) -> Listing {
    let listing = read(text.as_bytes()).expect("a list");
    let value = serde_json::from_str(text).expect("JSON");
    assert_eq!(from_json(&value).expect("a list"), listing);
    listing
}

#[test]
fn an_entry_is_read_with_all_its_fields() {
    let listing = both(&list(&format!("[{GOOD}]")));
    assert_eq!((listing.revision, listing.update, listing.unread), (7, Update::Complete, 0));
    let target = &listing.targets[0];
    assert_eq!((target.address.port(), target.cell, target.power), (70, 3, 1.5));
    assert_eq!((target.started_at, target.readiness), (Some(12.0), Readiness::Draining));
}

#[test]
fn what_is_no_entry_costs_no_other_one() {
    let phase = |phase: &str| GOOD.replace("\"terminating\"", phase);
    let bad = [
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
        &GOOD.replace("127.0.0.1:70", "nowhere"),
        &GOOD.replace("s-1", ""),
    ];
    for entry in bad {
        let listing = both(&list(&format!("[{entry},{GOOD},{entry}]")));
        assert_eq!(
            (listing.targets.len(), listing.unread, listing.update),
            (1, 2, Update::Changes),
            "{entry}"
        );
    }
}

#[test]
fn fields_of_the_wrong_kind_have_their_defaults() {
    let loose = GOOD
        .replace("\"cell\":3", "\"cell\":-3,\"other\":[{}]")
        .replace("1.5", "\"large\"")
        .replace(":12", ":null")
        .replace("\"a\"", "{\"zone\":1}");
    let target = &both(&list(&format!("[{loose}]"))).targets[0];
    assert_eq!((target.cell, target.power, target.started_at), (0, 1.0, None));
    let escaped = GOOD.replace("s-1", "s\\u002d1");
    assert_eq!(both(&list(&format!("[{escaped}]"))).targets, both(&list(&format!("[{GOOD}]"))).targets);
}

#[test]
fn what_is_no_list_is_an_error_that_names_the_key() {
    let good = list("[]");
    for (text, named) in [
        (good.replace("7", "7.5"), "revision"),
        (good.replace("true", "1"), "complete"),
        (good.replace("[]}", "{}}"), "members"),
        ("[]".into(), "revision"),
        ("5".into(), "revision"),
        (good.replace('}', ""), "JSON"),
    ] {
        let error = read(text.as_bytes()).expect_err(&text);
        assert!(error.contains(named), "{text}: {error}");
    }
}
