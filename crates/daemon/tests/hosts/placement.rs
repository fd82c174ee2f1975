//! Placement closes a gap that a dead engine leaves.

use pollendrift_border::{LayerSpan, OrderReply, OrderRequest};
use pollendrift_http::HttpClient;
use pollendrift_standins::caller::DraftCaller;
use pollendrift_standins::engine::{EngineServer, EngineSettings};
use pollendrift_standins::fleet::{ModelShape, mixed_engines};
use pollendrift_standins::harness::{CUSTOMER_TOKEN, loopback};
use pollendrift_standins::token::{StandInWeights, expected_answer};

use crate::support::{HostGroup, wait_until};

const SELECTOR: &str = "kind: selector\nname: drafts\nmodel: draft\nversion: v1\n";
const PROMPT: &str = "valve list of the cooling loop";
const TOKENS: u32 = 8;

async fn start_engine(group: &HostGroup, index: u32, version: &str) -> EngineServer {
    let mut offer = mixed_engines(&ModelShape::default(), index + 1)
        .pop()
        .unwrap();
    offer.version = version.to_owned();
    let settings = EngineSettings {
        server: format!("engine-{index}"),
        offer,
    };
    let mut engine = EngineServer::start(settings, loopback()).await.unwrap();
    engine.announce(group.entries(), 1, "dc-a");
    engine
}

fn held(engine: &EngineServer) -> String {
    let served = engine.served();
    format!(
        "{} {}..{}",
        served.version, served.layers.first, served.layers.end
    )
}

async fn draft(caller: &DraftCaller) -> String {
    let shape = ModelShape::default();
    let weights = StandInWeights::new(&shape.model, &shape.version, None, shape.layers);
    let reply = caller.draft("draft", PROMPT, TOKENS, |_| {}).await.unwrap();
    match reply.check(&expected_answer(&weights, PROMPT, TOKENS)) {
        Ok(()) => "whole".to_owned(),
        Err(fault) => fault.to_string(),
    }
}

// The caller's drafts fail for as long as the only engine of the first span is dead and nobody
// holds its layers, and are whole again without anybody's help. A spare engine of an old version
// was first ordered to help the slowest span; when the dead engine's lease ends, that span is held
// twice, so one of its two engines can be spared: it is ordered to load the missing span, and drafts
// run over it once it announces that. An order under an older number, such as a lost holder's, is refused, but
// for an engine that ignores numbers.
#[tokio::test(flavor = "multi_thread")]
async fn a_spared_engine_takes_over_the_span_of_a_dead_one() {
    let mut group = HostGroup::stopped(1, 1);
    group.builder = group.builder.with(
        "placement: {settle: 0ms, lease: 2s}\nleases: {backend_server: 1s, heartbeat: 100ms}\n",
    );
    let group = group.start_all_with(SELECTOR).await;
    let caller = DraftCaller::new(&group.entry(0), CUSTOMER_TOKEN);
    let mut engines = Vec::new();
    for index in 0..4 {
        engines.push(start_engine(&group, index, "v1").await);
    }
    group.wait_servers(4).await;
    let mut seen = vec![format!("four engines: {}", draft(&caller).await)];
    let spare = start_engine(&group, 4, "v0").await;
    wait_until(|| held(&spare).starts_with("v1")).await;
    seen.push(format!("spare helps: {}", held(&spare)));
    drop(engines.remove(0));
    let fails = draft(&caller).await != "whole";
    seen.push(format!("engine 0 died, drafts fail: {fails}"));
    engines.push(spare);
    wait_until(|| engines.iter().any(|engine| held(engine) == "v1 0..8")).await;
    let mut last = draft(&caller).await;
    while last != "whole" {
        last = draft(&caller).await;
    }
    let spans: Vec<String> = engines.iter().map(held).collect();
    seen.push(format!("{}: {last}", spans.join(", ")));
    let old = OrderRequest {
        fencing: 0,
        model: "draft".to_owned(),
        version: "v0".to_owned(),
        layers: LayerSpan { first: 8, end: 16 },
    };
    let address = engines[3].address().to_string();
    let client = HttpClient::new(1 << 16);
    for ignores in [false, true] {
        engines[3].faults().ignore_fencing(ignores);
        let call = client.call::<_, OrderReply>(&address, "/engine/v1/orders", &old);
        let (status, reply) = call.await.unwrap();
        let highest = reply.unwrap().highest_fencing;
        seen.push(format!(
            "old order, ignoring numbers {ignores}: {status}, highest {highest}"
        ));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    four engines: whole
    spare helps: v1 24..32
    engine 0 died, drafts fail: true
    v1 8..16, v1 16..24, v1 0..8, v1 24..32: whole
    old order, ignoring numbers false: 409 Conflict, highest 1
    old order, ignoring numbers true: 200 OK, highest 1
    ");
}
