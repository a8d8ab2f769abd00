//! Configurations like those of the small deployments.

use crate::platform::Platform;

pub struct Dispatcher<'a> {
    pub listen: &'a str,
    pub platform: &'a Platform,
    /// The list as the platform hands it over at the start.
    pub known: &'a str,
    pub settings: &'a str,
    pub mgmt: Option<&'a str>,
    pub seed: u64,
}

impl Dispatcher<'_> {
    pub fn json(&self) -> String {
        let mgmt = self.mgmt.map_or(String::new(), |addr| format!(r#""mgmt":"{addr}","#));
        format!(
            r#"{{"name":"n1","listen":"{}","discovery":"{}",{mgmt}"seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":128,"sockets":256,"disk_mb":3}},
"known":{},
"settings":{}}}"#,
            self.listen, self.platform.addr, self.seed, self.known, self.settings
        )
    }
}

/// The settings of `ljubljana-depot`.
pub const LJUBLJANA: &str = r#"{
"balancers":3,"tick-ns":5000000,"weights":"none","discovery":"pushed",
"dcs":["hall-a","hall-b","hall-c"],"flavors":["grocers","couriers","farms"],
"family-info":{"decay":"line","own-limits":[false,true,false],"workers":8},
"services":[
 {"name":"notice","repeat":"deduplicated","window-ns":8000000000,"dedup-scope":"all","worth":1.0,
  "aim-ns":2000000000,"deadline-ns":20000000000,"late-share":0.4},
 {"name":"payment","repeat":"at_most_once","worth":2.0,"aim-ns":4000000000,"deadline-ns":24000000000,"late-share":0.3}],
"limits":{"max-open":120,"max-attempts":6,"connect-timeout-ns":1000000000,"keepalive-ns":15000000000,
 "retry-after":true,"max-retry-after-ns":3000000000},
"guarantees":{"cold-share":0.14,"ramp-time-ns":14000000000,"tip-multiple":2.5,"overload-for-ns":3000000000,
 "drain-grace-ns":2000000000}}"#;

/// Like `LJUBLJANA`, with a further class and shorter times, for random runs.
pub const SOAK: &str = r#"{
"balancers":3,"tick-ns":5000000,"weights":"none","discovery":"pushed",
"dcs":["hall-a","hall-b","hall-c"],"flavors":["grocers","couriers","farms"],
"family-info":{"decay":"line","own-limits":[false,true,false],"workers":16},
"services":[
 {"name":"notice","repeat":"deduplicated","window-ns":3000000000,"dedup-scope":"all","worth":1.0,
  "aim-ns":2000000000,"deadline-ns":10000000000,"late-share":0.4},
 {"name":"payment","repeat":"at_most_once","worth":2.0,"aim-ns":4000000000,"deadline-ns":10000000000,"late-share":0.3},
 {"name":"turn","repeat":"deduplicated","window-ns":3000000000,"dedup-scope":"all","worth":1.0,
  "aim-ns":2000000000,"deadline-ns":10000000000,"late-share":0.4,"in-turn":true},
 {"name":"safe","repeat":"idempotent","worth":1.0,"aim-ns":2000000000,"deadline-ns":10000000000,"late-share":0.0}],
"limits":{"max-open":240,"max-attempts":6,"connect-timeout-ns":1000000000,"keepalive-ns":15000000000,
 "retry-after":true,"max-retry-after-ns":3000000000},
"guarantees":{"cold-share":0.14,"ramp-time-ns":14000000000,"tip-multiple":2.5,"overload-for-ns":3000000000,
 "drain-grace-ns":2000000000,"turn-gap-ns":100000000}}"#;
