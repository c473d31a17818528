//! Configurations of routers in small deployments.

use crate::agent::Agent;
use crate::common::{Case, Router};
use std::io;
use std::net::SocketAddr;

/// Starts the three routers of a small deployment.
pub fn start_three(case: &Case, agent: &Agent, memory_mb: u32) -> io::Result<Vec<Router>> {
    (0..3)
        .map(|slot| {
            let config = hcm_trip_db(slot, agent.address, &agent.snapshot(), memory_mb);
            case.start_router(&format!("n{slot}"), &config)
        })
        .collect()
}

/// The configuration of router `slot` of three at a deployment with the classes, effects, deadlines and rules of
/// hcm-trip-db. `{listen}` is filled in when the router starts.
pub fn hcm_trip_db(slot: u32, agent: SocketAddr, known: &str, memory_mb: u32) -> String {
    format!(
        r#"{{"name":"n{slot}","listen":"{{listen}}","discovery":"{agent}","seed":"8c1f30d27a5be96{slot}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":1024}},
"known":{known},
"settings":{{"Balancers":3,"SlotNo":{slot},"Tick":5000,"Discovery":"automatic","CountedBy":"request",
 "KindOfService":"replicas","Kinds":["std-5c"],"Zone":"thu-duc","Zones":["thu-duc"],"Weights":"nominal",
 "Tier":0,"Tiers":["trip-db"],"OverShareWorth":0.1,"Clients":{{"MarksRetry":false}},
 "FamilyInfo":{{"AnswersStamped":false,"ClassRead":["recent","own_writes","loose","loose","update"],
  "MaxAge":[3000000,0,0,0,0],"HoldsFor":0,"ServerChecks":"silent","SessionMarks":"client","ShowsRole":"delayed",
  "Synchronous":false}},
 "Limits":{{"Cancel":true,"ConnIdle":30000000,"DialTimeout":250000,"MaxAttempts":6,"MaxRetryAfter":500000,
  "Peers":false,"Probing":true,"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":1}},
 "Prices":{{"LateFail":0.058,"Probe":0.022,"Waste":0.05}},
 "Customers":[{{"AllowancePerS":240.0,"Name":"xe-chung-sai-gon","Portion":0.56}},
  {{"AllowancePerS":116.0,"Name":"di-cung-ha-noi","Portion":0.27}},
  {{"AllowancePerS":73.0,"Name":"ghep-xe-mien-trung","Portion":0.17}}],
 "Profiles":[
  {{"Name":"trip-search","Aim":300000,"Deadline":750000,"Effect":"idempotent","Group":"all","Gain":1.0,"LateWorth":0.0,"Window":5000000,"Stream":false}},
  {{"Name":"my-booking","Aim":400000,"Deadline":1000000,"Effect":"idempotent","Group":"all","Gain":1.0,"LateWorth":0.0,"Window":5000000,"Stream":false}},
  {{"Name":"seat-count","Aim":300000,"Deadline":1200000,"Effect":"idempotent","Group":"all","Gain":2.0,"LateWorth":0.2,"Window":5000000,"Stream":false}},
  {{"Name":"month-report","Aim":3000000,"Deadline":6000000,"Effect":"idempotent","Group":"all","Gain":6.0,"LateWorth":0.0,"Window":5000000,"Stream":false}},
  {{"Name":"book-seat","Aim":400000,"Deadline":5000000,"Effect":"at_most_once","Group":"all","Gain":3.0,"LateWorth":0.7,"Window":5000000,"Stream":false}}],
 "Report":{{"How":"pull","Names":["x0","x1","outstanding","utilization"]}},
 "Rules":{{"AskEvery":10000000,"Cold":17000000,"ColdShare":0.15,"DrainGrace":1000000,"GraceToAnswer":20000,
  "OverloadFactor":4.0,"OverloadFor":2000000}}}}}}
"#
    )
}
