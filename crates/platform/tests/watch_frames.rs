//! Objects and heartbeats of a discovery watch, whichever way their bytes are cut.

use roseproxy_platform::discovery::{WatchDecoder, WatchFrame};
use serde_json::Value;

fn pieces(texts: &[&str]) -> (Vec<WatchFrame>, usize) {
    let (mut decoder, mut pieces) = (WatchDecoder::default(), Vec::new());
    texts.iter().for_each(|t| decoder.take(t.as_bytes(), |p| pieces.push(p)));
    (pieces, decoder.held())
}

fn objects(texts: &[&str]) -> Vec<String> {
    let object = |p| if let WatchFrame::Object(o) = p { String::from_utf8(o).ok() } else { None };
    pieces(texts).0.into_iter().filter_map(object).collect()
}

#[test]
fn objects_come_one_a_line_or_indented_and_in_any_cut() {
    let list = serde_json::json!({"revision": 7, "complete": true, "members": [{"id": "a}\"{", "x": [1]}]});
    for text in [list.to_string(), serde_json::to_string_pretty(&list).unwrap_or_default()] {
        for at in 0..=text.len() {
            let (a, b) = text.split_at(at);
            let got = objects(&[a, b, "\n\n"]);
            assert_eq!(got.len(), 1, "{got:?}");
            assert_eq!(serde_json::from_str::<Value>(&got[0]).ok().as_ref(), Some(&list));
        }
    }
}

#[test]
fn only_a_line_that_ends_is_heard_and_what_is_cut_short_hides_nothing() {
    assert_eq!(pieces(&["{\"revision\":4"]), (Vec::new(), 13));
    assert_eq!(pieces(&["\r\n", "\n"]), (vec![WatchFrame::Heartbeat, WatchFrame::Heartbeat], 0));
    let whole = "{\"revision\":8,\"complete\":false,\"members\":[]}";
    let got = objects(&["{\"revision\":4,\n", whole, "\nno list\n]\n", whole, "\n"]);
    assert_eq!(got, ["{\"revision\":4,", whole, "no list", "]", whole]);
}
