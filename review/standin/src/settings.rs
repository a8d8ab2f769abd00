//! The settings of the deployments, with their figures from the site files, for three dispatchers.

/// `ljubljana-depot`, with this lifetime for both classes.
pub fn ljubljana_depot(lifetime_ms: u64) -> String {
    let services = format!(
        "[{{\"name\":\"notice\",\"repeat\":\"deduplicated\",\"window-ns\":8000000000,\"dedup-scope\":\"all\",\
         \"worth\":1.0,\"aim-ns\":2000000000,\"deadline-ns\":{0},\"late-share\":0.4}},\
         {{\"name\":\"payment\",\"repeat\":\"at_most_once\",\"window-ns\":5000000000,\"dedup-scope\":\"all\",\
         \"worth\":2.0,\"aim-ns\":4000000000,\"deadline-ns\":{0},\"late-share\":0.3}}]",
        lifetime_ms * 1_000_000
    );
    format!(
        "{{\"balancers\":3,\"position\":0,\"dcs\":[\"hall-a\",\"hall-b\",\"hall-c\"],\"my-zone\":\"hall-a\",\
         \"discovery\":\"pushed\",\"flavors\":[\"grocers\",\"couriers\",\"farms\"],\
         \"family-info\":{{\"decay\":\"line\",\"own-limits\":[false,true,false],\"per-call\":[1,1,1],\"workers\":13}},\
         \"guarantees\":{{\"ask-within-ns\":10000000000,\"cold-share\":0.14,\"drain-grace-ns\":2000000000,\
         \"grace-to-answer-ns\":20000000,\"overload-for-ns\":3000000000,\"ramp-time-ns\":14000000000,\
         \"tip-multiple\":2.5}},\
         \"limits\":{{\"cancel\":true,\"connect-timeout-ns\":1000000000,\"keepalive-ns\":15000000000,\
         \"max-attempts\":6,\"max-open\":268,\"max-retry-after-ns\":3000000000,\"may-probe\":true,\
         \"retry-after\":true,\"second-copies\":false,\"streams-per-conn\":1}},\
         \"report\":{{\"columns\":[],\"how\":\"off\"}},\"services\":{services},\"tick-ns\":5000000,\
         \"weights\":\"rough\"}}"
    )
}

/// `head-office`.
pub fn head_office() -> String {
    let services = "[{\"name\":\"trip-charge\",\"repeat\":\"deduplicated\",\"window-ns\":10000000000,\
         \"dedup-scope\":\"dc\",\"worth\":2.0,\"aim-ns\":2500000000,\"deadline-ns\":16000000000,\"late-share\":0.5,\
         \"in-turn\":true},\
         {\"name\":\"tag-status\",\"repeat\":\"idempotent\",\"window-ns\":5000000000,\"dedup-scope\":\"all\",\
         \"worth\":1.0,\"aim-ns\":800000000,\"deadline-ns\":8000000000,\"late-share\":0.0}]";
    format!(
        "{{\"balancers\":3,\"position\":0,\"dcs\":[\"bldg-a\",\"bldg-b\",\"bldg-c\"],\"my-zone\":\"bldg-a\",\
         \"discovery\":\"pushed\",\"flavors\":[\"card-issuer\",\"fleet-operator\"],\
         \"family-info\":{{\"decay\":\"halves\",\"own-limits\":[true,true],\"per-call\":[1,1],\"workers\":13}},\
         \"guarantees\":{{\"ask-within-ns\":10000000000,\"cold-share\":0.29,\"drain-grace-ns\":250000000,\
         \"grace-to-answer-ns\":20000000,\"overload-for-ns\":2000000000,\"ramp-time-ns\":14000000000,\
         \"tip-multiple\":1.5,\"turn-gap-ns\":100000000}},\
         \"limits\":{{\"cancel\":true,\"connect-timeout-ns\":1500000000,\"keepalive-ns\":15000000000,\
         \"max-attempts\":8,\"max-open\":268,\"may-probe\":true,\"retry-after\":false,\"second-copies\":false,\
         \"streams-per-conn\":1}},\
         \"report\":{{\"columns\":[],\"how\":\"off\"}},\"services\":{services},\"tick-ns\":5000000,\
         \"weights\":\"off\"}}"
    )
}
