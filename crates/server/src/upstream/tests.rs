//! Tests of the splitting of streams into events, and of socket options.

use std::time::Duration;

use googletest::prelude::*;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use proptest::prelude::*;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use super::{EventSplitter, is_framed, socket};
use crate::testing::fixed_seed;

/// A sound endpoint may be silent for so long.
const LONGEST_SILENCE: Duration = Duration::from_secs(2);

// A user timeout that is set also ends keep-alive, whatever the number of probes.
#[gtest]
fn connection_outlasts_a_silence_of_its_peer_whether_or_not_data_is_on_the_way() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let socket = runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let socket = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        socket::tune(&socket).unwrap();
        socket
    });
    let options = SockRef::from(&socket);

    let user_timeout = options.tcp_user_timeout().unwrap().unwrap();
    let probed =
        options.tcp_keepalive_interval().unwrap() * options.tcp_keepalive_retries().unwrap();
    let idle_timeout = options.tcp_keepalive_time().unwrap() + probed;

    expect_that!(user_timeout, gt(LONGEST_SILENCE));
    expect_that!(idle_timeout, eq(user_timeout));
}

/// Splits a text that comes in pieces that end at these places.
fn split(text: &str, cuts: &[usize]) -> (Vec<(Option<u64>, String)>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    let mut from = 0;
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (text.len() + 1)).collect();
    cuts.sort_unstable();
    for cut in cuts.into_iter().chain([text.len()]) {
        splitter.push(&text.as_bytes()[from..cut]).unwrap();
        from = cut;
        while let Some(event) = splitter.next_event() {
            events.push((event.id, String::from_utf8(event.bytes.to_vec()).unwrap()));
        }
    }
    (events, splitter.has_rest())
}

proptest! {
    #![proptest_config(fixed_seed(300))]

    /// However the bytes are cut, the same events come, and their bytes are the stream's.
    #[test]
    fn cuts_do_not_matter(
        ids in proptest::collection::vec(0u64..1_000, 1..8),
        crlf in any::<bool>(),
        cuts in proptest::collection::vec(0usize..4_000, 0..12),
    ) {
        let end = if crlf { "\r\n" } else { "\n" };
        let event = |id: &u64| format!("id: {id}{end}data: some text{end}{end}");
        let text: String = ids.iter().map(event).collect();

        let (events, rest) = split(&text, &cuts);

        prop_assert!(!rest);
        let found: Vec<u64> = events.iter().filter_map(|(id, _)| *id).collect();
        prop_assert_eq!(found, ids);
        let whole: String = events.into_iter().map(|(_, bytes)| bytes).collect();
        prop_assert_eq!(whole, text);
    }
}

#[gtest]
fn an_event_that_was_cut_is_kept_back() {
    let (events, rest) = split("id: 1\ndata: a\n\nid: 2\ndata: b", &[]);

    expect_that!(events.len(), eq(1));
    expect_that!(rest, eq(true));
}

// Guards against bodies that end with their connection and count as framed.
#[gtest]
fn only_a_length_or_chunks_frame_a_body() {
    let framed = |headers: &[(HeaderName, &'static str)]| {
        let header = |(name, text): &(HeaderName, &'static str)| {
            (name.clone(), HeaderValue::from_static(text))
        };
        is_framed(&headers.iter().map(header).collect::<HeaderMap>())
    };

    expect_true!(framed(&[(header::CONTENT_LENGTH, "3")]));
    expect_true!(framed(&[(header::TRANSFER_ENCODING, "gzip, Chunked")]));
    expect_false!(framed(&[(header::TRANSFER_ENCODING, "gzip")]));
    expect_false!(framed(&[(header::TRANSFER_ENCODING, "gzip"), (header::CONTENT_LENGTH, "3")]));
    expect_false!(framed(&[]));
}
