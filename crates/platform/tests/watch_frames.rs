//! Framing of a discovery watch into objects and heartbeats, independent of how its bytes are split.

use roseproxy_platform::discovery::{WatchDecoder, WatchFrame};
use serde_json::Value;

/// The frames of these texts, and the number of bytes that remain buffered.
fn frames(texts: &[&str]) -> (Vec<WatchFrame>, usize) {
    let (mut decoder, mut frames) = (WatchDecoder::default(), Vec::new());
    texts.iter().for_each(|t| decoder.push(t.as_bytes(), |frame| frames.push(frame)));
    (frames, decoder.buffered_bytes())
}

/// The objects among the frames of these texts.
fn objects(texts: &[&str]) -> Vec<String> {
    let object =
        |frame| if let WatchFrame::Object(text) = frame { String::from_utf8(text).ok() } else { None };
    frames(texts).0.into_iter().filter_map(object).collect()
}

#[test]
fn objects_are_decoded_on_one_line_or_indented_and_split_anywhere() {
    let list = serde_json::json!({"revision": 7, "complete": true, "members": [{"id": "a}\"{", "x": [1]}]});
    for text in [list.to_string(), serde_json::to_string_pretty(&list).unwrap_or_default()] {
        for split_at in 0..=text.len() {
            let (first, second) = text.split_at(split_at);
            let got = objects(&[first, second, "\n\n"]);
            assert_eq!(got.len(), 1, "{got:?}");
            assert_eq!(serde_json::from_str::<Value>(&got[0]).ok().as_ref(), Some(&list));
        }
    }
}

#[test]
fn only_complete_lines_are_decoded_and_a_truncated_object_hides_no_later_one() {
    assert_eq!(frames(&["{\"revision\":4"]), (Vec::new(), 13));
    assert_eq!(frames(&["\r\n", "\n"]), (vec![WatchFrame::Heartbeat, WatchFrame::Heartbeat], 0));
    let change = "{\"revision\":8,\"complete\":false,\"members\":[]}";
    let got = objects(&["{\"revision\":4,\n", change, "\nno list\n]\n", change, "\n"]);
    assert_eq!(got, ["{\"revision\":4,", change, "no list", "]", change]);
}
