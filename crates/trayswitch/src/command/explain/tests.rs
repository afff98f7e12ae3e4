use googletest::prelude::*;

use super::{Line, cause, story, tell};

/// Lines as two entries and a control VM wrote them.
fn lines() -> Vec<Line> {
    let texts = [
        r#"{"t":1000,"level":"INFO","event":307,"vm":"front-1","endpoint":"i-1","open":true,"msg":"an endpoint is new or has changed"}"#,
        r#"{"t":1200,"level":"INFO","event":311,"vm":"front-1","id":"r1","endpoint":"i-1","end":"streams","msg":"an attempt ended"}"#,
        r#"{"t":1300,"level":"INFO","event":302,"vm":"core-1","endpoint":"i-1","msg":"an endpoint is leaving"}"#,
        r#"{"t":1310,"level":"INFO","event":302,"vm":"core-1","endpoint":"i-9","msg":"an endpoint is leaving"}"#,
        r#"17.2 front-1 {"t":1900,"level":"INFO","event":310,"vm":"front-1","id":"r1","cause":"generation_lost","detail":"9 events","msg":"a request ended"}"#,
        r#"{"t":1950,"level":"INFO","event":310,"vm":"front-2","id":"r2","cause":"answered","msg":"a request ended"}"#,
        "no line of a log",
    ];
    texts.iter().filter_map(|text| Line::parse(text)).collect()
}

#[gtest]
fn a_story_has_the_requests_lines_and_news_of_the_endpoints_it_met() {
    let lines = lines();

    let story = story("r1", &lines);

    let times: Vec<u64> = story.iter().map(|line| line.at).collect();
    expect_that!(times, elements_are![eq(&1000), eq(&1200), eq(&1300), eq(&1900)]);
}

#[gtest]
fn the_cause_is_that_of_the_last_line() {
    let lines = lines();

    expect_that!(cause("r1", &story("r1", &lines)), eq("generation_lost: 9 events"));
    expect_that!(cause("r2", &story("r2", &lines)), eq("answered"));
}

#[gtest]
fn a_line_of_the_story_tells_when_where_and_by_what() {
    let lines = lines();
    let story = story("r1", &lines);

    let text = tell(story[1], story[0].at);

    expect_that!(text, contains_substring("+200 ms"));
    expect_that!(text, contains_substring("front-1"));
    expect_that!(text, contains_substring("endpoint=i-1"));
}

#[gtest]
fn a_request_that_no_line_names_has_no_story() {
    expect_that!(story("r9", &lines()).len(), eq(0));
}

#[gtest]
fn a_story_has_what_became_of_the_same_request_before() {
    let texts = [
        r#"{"t":1000,"event":317,"vm":"core-1","request":"aa","end":"suspect","ended":1,"msg":"endpoints have ended"}"#,
        r#"{"t":2000,"event":317,"vm":"core-1","request":"bb","end":"suspect","ended":1,"msg":"endpoints have ended"}"#,
        r#"{"t":3000,"event":317,"vm":"core-1","request":"aa","end":"quarantined","ended":3,"msg":"endpoints have ended"}"#,
        r#"{"t":900000,"event":318,"vm":"front-1","id":"r1","request":"aa","end":"quarantined","msg":"tried again"}"#,
        r#"{"t":900001,"event":310,"vm":"front-1","id":"r1","cause":"quarantined","detail":"","msg":"a request ended"}"#,
        r#"{"t":950000,"event":317,"vm":"core-1","request":"aa","end":"clear","ended":0,"msg":"endpoints have ended"}"#,
    ];
    let lines: Vec<Line> = texts.iter().filter_map(|text| Line::parse(text)).collect();

    let story = story("r1", &lines);

    let times: Vec<u64> = story.iter().map(|line| line.at).collect();
    expect_that!(times, elements_are![eq(&1000), eq(&3000), eq(&900000), eq(&900001)]);
}

#[gtest]
fn a_story_has_the_limits_that_the_endpoints_it_met_have_named_to_its_daemon() {
    let texts = [
        r#"{"t":1000,"event":319,"vm":"front-1","endpoint":"i-1","end":"named","limit":"2.900","msg":"an endpoint says"}"#,
        r#"{"t":1010,"event":319,"vm":"front-2","endpoint":"i-1","end":"named","limit":"2.900","msg":"an endpoint says"}"#,
        r#"{"t":1020,"event":319,"vm":"front-1","endpoint":"i-9","end":"named","limit":"1.000","msg":"an endpoint says"}"#,
        r#"{"t":1500,"event":320,"vm":"front-1","id":"r1","endpoint":"i-1","end":"refused","msg":"the preferred endpoint is rate limited"}"#,
        r#"{"t":1501,"event":310,"vm":"front-1","id":"r1","cause":"overloaded","detail":"","msg":"a request ended"}"#,
    ];
    let lines: Vec<Line> = texts.iter().filter_map(|text| Line::parse(text)).collect();

    let story = story("r1", &lines);

    let times: Vec<u64> = story.iter().map(|line| line.at).collect();
    expect_that!(times, elements_are![eq(&1000), eq(&1500), eq(&1501)]);
}

#[gtest]
fn a_story_has_the_back_off_that_the_endpoints_it_met_have_asked_its_daemon_for() {
    let texts = [
        r#"{"t":1000,"event":322,"vm":"front-1","endpoint":"i-1","end":"begins","backoff_ms":3000,"msg":"an endpoint wants no requests"}"#,
        r#"{"t":1010,"event":322,"vm":"front-2","endpoint":"i-1","end":"begins","backoff_ms":3000,"msg":"an endpoint wants no requests"}"#,
        r#"{"t":1500,"event":311,"vm":"front-1","id":"r1","endpoint":"i-1","end":"withheld","msg":"an attempt ended"}"#,
        r#"{"t":1501,"event":310,"vm":"front-1","id":"r1","cause":"overloaded","detail":"","msg":"a request ended"}"#,
    ];
    let lines: Vec<Line> = texts.iter().filter_map(|text| Line::parse(text)).collect();

    let story = story("r1", &lines);

    let times: Vec<u64> = story.iter().map(|line| line.at).collect();
    expect_that!(times, elements_are![eq(&1000), eq(&1500), eq(&1501)]);
}

/// Guards against a rejection whose reason only the leader knows.
#[gtest]
fn a_story_has_the_leaders_rejections_of_the_same_request() {
    let texts = [
        r#"{"t":1000,"event":323,"vm":"core-1","request":"aa","end":"overloaded","expected_wait_ms":900,"msg":"the scheduler has rejected"}"#,
        r#"{"t":1002,"event":310,"vm":"front-1","id":"r1","request":"aa","cause":"overloaded","detail":"","msg":"a request ended"}"#,
        r#"{"t":2000,"event":323,"vm":"core-1","request":"","end":"overloaded","expected_wait_ms":900,"msg":"the scheduler has rejected"}"#,
        r#"{"t":3000,"event":323,"vm":"core-1","request":"bb","end":"overloaded","expected_wait_ms":900,"msg":"the scheduler has rejected"}"#,
        r#"{"t":4000,"event":323,"vm":"core-1","request":"aa","end":"overloaded","expected_wait_ms":700,"msg":"the scheduler has rejected"}"#,
        r#"{"t":4002,"event":310,"vm":"front-2","id":"r2","request":"aa","cause":"overloaded","detail":"","msg":"a request ended"}"#,
        r#"{"t":5000,"event":310,"vm":"front-2","id":"r3","request":"","cause":"answered","msg":"a request ended"}"#,
    ];
    let lines: Vec<Line> = texts.iter().filter_map(|text| Line::parse(text)).collect();
    let times = |id: &str| story(id, &lines).iter().map(|line| line.at).collect::<Vec<u64>>();

    expect_that!(times("r1"), elements_are![eq(&1000), eq(&1002)]);
    expect_that!(times("r2"), elements_are![eq(&1000), eq(&4000), eq(&4002)]);
    expect_that!(times("r3"), elements_are![eq(&5000)]);
    expect_that!(tell(&lines[4], 4000), contains_substring("expected_wait_ms=700"));
}
