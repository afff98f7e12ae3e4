//! Tests of parsing, validation and deltas of configuration files.

use std::collections::BTreeMap;

use googletest::prelude::*;
use proptest::prelude::*;

use super::*;

fn valid_file() -> String {
    let digest = key_digest("secret");
    format!(
        "[deployment]\nname = magnolia\nversion = 3\n\
         [hall hall-atl]\nregion = south\n[tier gold]\nrank = 1\n[kind chat]\nweight = 5\n\
         [model tutor-llm]\nkind = chat\n[service booking-desk]\n\
         [call booking-desk/confirm]\nkind = chat\nrepeatable = no\n\
         [workspace studio-1]\ntier = gold\nkey_sha256 = {digest}\n\
         [endpoint atl-1]\nhall = hall-atl\naddress = 127.0.0.1:9000\nmodel = tutor-llm\n\
         kv_tokens = 4096\n"
    )
}

#[gtest]
fn valid_file_parses() {
    let config = Config::parse("site.ini", &valid_file()).unwrap();

    expect_that!(config.deployment.version, eq(3));
    expect_that!(config.workspace_of_key("secret"), some(eq("studio-1")));
    expect_that!(config.services["booking-desk"].calls["confirm"].repeatable, eq(false));
    expect_that!(config.endpoints["atl-1"].kv_tokens, eq(4096));
}

#[gtest]
fn all_errors_name_file_section_and_key() {
    let text = valid_file()
        .replace("version = 3", "version = zero")
        .replace("tier = gold", "tier = silver")
        .replace("kv_tokens", "kv_token");

    let errors = Config::parse("site.ini", &text).unwrap_err().0;

    let locations: Vec<String> =
        errors.iter().map(|e| format!("{} [{}] {}", e.file, e.section, e.key)).collect();
    expect_that!(
        locations,
        unordered_elements_are![
            eq("site.ini [deployment] version"),
            eq("site.ini [workspace studio-1] tier"),
            eq("site.ini [endpoint atl-1] kv_tokens"),
            eq("site.ini [endpoint atl-1] kv_token"),
        ]
    );
}

#[gtest]
fn duplicate_sections_and_keys_are_rejected() {
    let text = valid_file() + "[tier gold]\nrank = 2\nrank = 3\n";

    let errors = Config::parse("site.ini", &text).unwrap_err().0;

    expect_that!(errors.len(), eq(2));
}

#[gtest]
fn duplicate_workspace_key_is_rejected() {
    let digest = key_digest("secret");
    let text = valid_file() + &format!("[workspace twin]\ntier = gold\nkey_sha256 = {digest}\n");

    let errors = Config::parse("site.ini", &text).unwrap_err();

    expect_that!(errors.to_string(), contains_substring("has the same key"));
}

fn document(sections: BTreeMap<String, Section>) -> Document {
    let mut document = Document::default();
    for (name, keys) in sections {
        document.insert(&name, keys);
    }
    document
}

// Without backslashes: the INI parser reads one at the end of a line as a continuation, so that no
// parsed document contains it.
fn documents() -> impl Strategy<Value = Document> {
    let section =
        proptest::collection::btree_map("[a-z_]{1,6}", "[a-zA-Z0-9 .:;#=\"/-]{0,12}", 0..4);
    proptest::collection::btree_map("[a-z]{1,5} [a-z0-9-]{1,5}", section, 0..6).prop_map(
        |mut sections| {
            for section in sections.values_mut() {
                for value in section.values_mut() {
                    *value = value.trim().to_owned();
                }
            }
            document(sections)
        },
    )
}

/// Files that differ in workspaces, routes, layout and tiers. Some are invalid: unknown tiers or
/// services, duplicate keys or prefixes.
fn files() -> impl Strategy<Value = String> {
    let workspace = (0u8..4, 0u8..3, 0u8..3);
    let route = (0u8..2, 0u8..4, 0u8..3);
    let other_tier = any::<bool>();
    let workspaces = proptest::collection::btree_map("[a-d]", workspace, 0..4);
    let routes = proptest::collection::btree_map("[a-d]", route, 0..4);
    (workspaces, routes, other_tier, 0u8..3).prop_map(|(workspaces, routes, other_tier, layout)| {
        let mut text = valid_file();
        text += &format!("[layout]\norder = {layout}\n");
        for (name, (host, prefix, service)) in routes {
            let prefix = ["/", "/a/", "/a/b/", "/b/"][prefix as usize];
            let service = ["booking-desk", "booking-desk", "gone"][service as usize];
            text += &format!(
                "[route {name}]\nhost = h{host}\npath_prefix = {prefix}\n\
                     services = {service}:1\nkind = single\n"
            );
        }
        if other_tier {
            text += "[tier t1]\nrank = 2\n";
        }
        for (name, (key, share, tier)) in workspaces {
            let digest = key_digest(&key.to_string());
            let tier = ["gold", "t1", "t2"][tier as usize];
            text += &format!(
                "[workspace {name}]\ntier = {tier}\nshare = {}\nkey_sha256 = {digest}\n",
                share + 1
            );
        }
        text
    })
}

/// Configuration with one route per name and prefix, all of one host.
fn config_with_routes(routes: &[(&str, &str)]) -> Config {
    let mut text = valid_file();
    for (name, prefix) in routes {
        text += &format!(
            "[route {name}]\nhost = h\npath_prefix = {prefix}\nservices = booking-desk:1\n\
             kind = single\n"
        );
    }
    Config::parse("site.ini", &text).unwrap()
}

#[gtest]
fn longest_matching_prefix_wins() {
    let config = config_with_routes(&[("all", "/"), ("a", "/a/"), ("abc", "/a/b/c/")]);
    let find = |path: &str| config.routes.find("h", path).map(|route| &*route.name);

    expect_that!(find("/"), some(eq("all")));
    expect_that!(find("/x/a/"), some(eq("all")));
    expect_that!(find("/a"), some(eq("all")));
    expect_that!(find("/a/b/c"), some(eq("a")));
    expect_that!(find("/a/b/c/d/e"), some(eq("abc")));
    expect_that!(find("/a//b/c/"), some(eq("a")));
    expect_that!(find("a/"), none());
    expect_that!(find(""), none());
}

#[gtest]
fn duplicate_host_and_prefix_is_rejected() {
    let route = |name: &str| {
        format!(
            "[route {name}]\nhost = h\npath_prefix = /a/\nservices = booking-desk:1\n\
             kind = single\n"
        )
    };
    let text = valid_file() + &route("one") + &route("two");

    let errors = Config::parse("site.ini", &text).unwrap_err();

    let same = "[route one] has the same host and path_prefix";
    expect_that!(errors.to_string(), contains_substring(same));
}

proptest! {
    #![proptest_config(crate::testing::fixed_seed(256))]

    #[test]
    fn applying_a_delta_and_its_undo_round_trips(a in documents(), b in documents()) {
        let mut patched = a.clone();
        let undo = patched.apply(&a.delta_to(&b));
        prop_assert_eq!(patched.content_hash(), b.content_hash());
        prop_assert_eq!(&patched, &b);
        patched.apply(&undo);
        prop_assert_eq!(patched, a);
    }

    #[test]
    fn incremental_update_equals_full_check(
        before in files(),
        after in files(),
    ) {
        let parse = |text: &str| Document::parse("f", text).unwrap();
        let (before, after) = (parse(&before), parse(&after));
        if let Ok(config) = Config::check("f", &before) {
            let updated = config.updated("f", &after, &before.delta_to(&after));
            let checked = Config::check("f", &after);
            prop_assert_eq!(updated.is_ok(), checked.is_ok());
            if let (Ok(updated), Ok(checked)) = (updated, checked) {
                prop_assert_eq!(updated, checked);
            }
        }
    }

    #[test]
    fn canonical_text_round_trips(a in documents()) {
        let parsed = Document::parse("f", &a.to_ini()).unwrap();
        prop_assert_eq!(parsed, a);
    }

    #[test]
    fn arbitrary_text_does_not_panic(text in "\\PC{0,200}") {
        let _ = Config::parse("f", &text);
    }
}
