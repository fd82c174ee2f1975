//! Tests that placement replaces the layers of a crashed engine.

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

fn served_layers(engine: &EngineServer) -> String {
    let served = engine.current_offer();
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
        Ok(()) => "complete".to_owned(),
        Err(error) => error.to_string(),
    }
}

// Guards against drafts that keep failing after the only engine of a layer range crashed. A spare
// engine of an old version first joins the slowest layer range, so two engines serve it. Once the
// crashed engine's lease expires, one of the two is ordered to load the missing layers. An order
// with an older fencing number, as from a former holder of the order right, is refused, except by
// an engine that ignores it.
#[tokio::test(flavor = "multi_thread")]
async fn a_redundant_engine_replaces_the_layers_of_a_crashed_one() {
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
    wait_until(|| served_layers(&spare).starts_with("v1")).await;
    seen.push(format!("spare helps: {}", served_layers(&spare)));
    drop(engines.remove(0));
    let fails = draft(&caller).await != "complete";
    seen.push(format!("engine 0 died, drafts fail: {fails}"));
    engines.push(spare);
    wait_until(|| {
        engines
            .iter()
            .any(|engine| served_layers(engine) == "v1 0..8")
    })
    .await;
    let mut last = draft(&caller).await;
    while last != "complete" {
        last = draft(&caller).await;
    }
    let layers: Vec<String> = engines.iter().map(served_layers).collect();
    seen.push(format!("{}: {last}", layers.join(", ")));
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
    four engines: complete
    spare helps: v1 24..32
    engine 0 died, drafts fail: true
    v1 8..16, v1 16..24, v1 0..8, v1 24..32: complete
    old order, ignoring numbers false: 409 Conflict, highest 1
    old order, ignoring numbers true: 200 OK, highest 1
    ");
}
