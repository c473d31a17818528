//! Tests of tenant quotas: the values in the settings, and the defaults if the settings name none.

use plovercove::Settings;
use plovercove_settings::{parse, read_settings};

fn read(customers: &str, more: &str) -> Settings {
    let json = format!(
        r#"{{"Balancers": 3, "SlotNo": 1, "Tick": 5000, "Discovery": "automatic", "Zone": "a",
        "FamilyInfo": {{"ClassRead": ["recent"], "MaxAge": [3000000], "ServerChecks": "silent", "ShowsRole": "delayed",
        "SessionMarks": "client"}},
        "Limits": {{"Cancel": true, "ConnIdle": 30000000, "DialTimeout": 250000, "MaxAttempts": 6,
        "MaxRetryAfter": 500000, "Probing": true, "RetryAfter": true, "SecondCopies": true}},
        "Profiles": [{{"Name": "read", "Aim": 400000, "Deadline": 1000000, "Gain": 1.5, "Effect": "idempotent"}}],
        "Report": {{"How": "pull", "Names": ["x0"]}}, "Rules": {{"Cold": 10000000, "ColdShare": 0.2,
        "DrainGrace": 1000000, "OverloadFactor": 4, "OverloadFor": 2000000, "GraceToAnswer": 20000}}{more}
        {customers}}}"#
    );
    let value = parse(json.into_bytes()).unwrap_or_else(|e| panic!("{e}"));
    read_settings(&value, "settings.")
        .unwrap_or_else(|e| panic!("{e}"))
        .settings
}

#[test]
fn a_tenant_without_an_allowance_has_an_unlimited_quota() {
    let settings = read(
        r#", "Customers": [{"Name": "a", "AllowancePerS": 12.5}, {"Name": "b"}, {"Name": "c", "AllowancePerS": 0}]"#,
        r#", "OverShareWorth": 0.3"#,
    );
    let quotas: Vec<f64> = settings.tenants.iter().map(|t| t.quota_per_s).collect();
    assert_eq!(quotas, [12.5, f64::INFINITY, 0.0]);
    assert_eq!(settings.over_quota_weight, 0.3);
}

#[test]
fn without_quotas_over_quota_requests_keep_their_full_weight() {
    let settings = read("", "");
    assert!(settings.tenants.is_empty());
    assert_eq!(settings.over_quota_weight, 1.0);
}
