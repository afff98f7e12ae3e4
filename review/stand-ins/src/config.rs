//! Configurations as the operator sends them.

use crate::site::SERVICE;

/// Slots of an engine.
pub const SLOTS: usize = 4;

/// A configuration with one streaming route, and tenants with their keys.
pub fn config(version: u64, tenants: &[(&str, &[&str])]) -> String {
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, keys)| {
            let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
            let keys = keys.join(",");
            format!("{{\"name\":\"{name}\",\"api-keys\":[{keys}],\"priority\":1}}")
        })
        .collect();
    format!(
        "{{\"config-version\":{version},\"routes\":[{{\"name\":\"r-draft\",\
         \"hostname\":\"desk.example\",\"path-prefix\":\"/draft/\",\"kind\":\"streaming\",\
         \"timeout-ms\":39000,\"target-latency-ms\":4000,\"priority\":0,\"service\":\"{SERVICE}\",\
         \"max-attempts\":2,\"public\":false,\"session-affinity\":true,\"stream-resume\":true,\
         \"gap_aim_ms\":180}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health-path\":\"/health\",\
         \"max-connections\":372,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{SLOTS},\
         \"kv-capacity-tokens\":34423,\"kv-token-bytes\":131072,\"link-mbps\":19000.0,\
         \"moves\":false,\"backups\":false,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{}]}}",
        tenants.join(",")
    )
}
