//! Measures the time and allocations of one placement decision by number of candidate servers.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::hint::black_box;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use umberglade_router::control::ServerSlot;
use umberglade_router::placement::AffinityPlacement;
use umberglade_router::placement::LeastLoadedPlacement;
use umberglade_router::placement::Placement;
use umberglade_router::placement::PlacementRequest;
use umberglade_router::placement::RoundRobinPlacement;
use umberglade_router::preset::Preset;
use umberglade_router::prompt::PromptShape;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::engine::LoadSample;
use umberglade_wire::engine::Priority;
use umberglade_wire::platform::InstanceEntry;
use umberglade_wire::platform::InstanceState;

/// Numbers of candidates of one decision: a small site; one model's servers of one role at the
/// target size (890 servers, 5 models, 2 roles: 89); all 445 servers of one role, if they serve
/// one model.
const CANDIDATES: [usize; 3] = [6, 89, 445];
const COUNTED_DECISIONS: u64 = 1000;

struct CountingAllocator;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

// SAFETY: forwards every call to the system allocator and only counts allocations.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn slots(count: usize) -> Vec<Arc<ServerSlot>> {
    (0..count)
        .map(|index| {
            let slot = ServerSlot::new(InstanceEntry {
                server: format!("server-{index}"),
                addr: "127.0.0.1:1".into(),
                role: EngineRole::Prefill,
                model: "m".into(),
                domain: format!("domain-{}", index % 6),
                region: String::new(),
                state: InstanceState::Live,
            });
            slot.observe(LoadSample { running: (index % 20) as u32, slots: 20, queued_tokens: 0 });
            Arc::new(slot)
        })
        .collect()
}

fn decide<P: Placement>(placement: &P, slots: &[Arc<ServerSlot>], preset: &Preset) {
    let shape = PromptShape { tokens: 5000, prefix_hash: 7, prefix_tokens: 1800, digest: 1 };
    let request = PlacementRequest {
        shape: &shape,
        priority: Priority::Standard,
        preset,
        domain: "domain-1",
        region: "",
        avoid: &[],
        cached_or_idle_only: false,
        reserve: 2,
        max_local_queue_tokens: 16_000,
    };
    black_box(placement.prefill(slots, &request));
    black_box(placement.decode(slots, &request));
}

fn bench_policy<P: Placement>(criterion: &mut Criterion, name: &str, placement: P) {
    let preset = Preset::from_toml(include_str!("../../../presets/ordinary.toml"))
        .expect("the shipped preset is valid");
    let mut group = criterion.benchmark_group("prefill and decode decision");
    for count in CANDIDATES {
        let slots = slots(count);
        let before = ALLOCATIONS.load(Ordering::Relaxed);
        for _ in 0..COUNTED_DECISIONS {
            decide(&placement, &slots, &preset);
        }
        let per_decision = (ALLOCATIONS.load(Ordering::Relaxed) - before) / COUNTED_DECISIONS;
        println!("{name}/{count}: {per_decision} allocations for both decisions");
        group.bench_with_input(BenchmarkId::new(name, count), &slots, |bencher, slots| {
            bencher.iter(|| decide(&placement, slots, &preset));
        });
    }
    group.finish();
}

fn bench_decisions(criterion: &mut Criterion) {
    bench_policy(criterion, "affinity", AffinityPlacement::default());
    bench_policy(criterion, "least-loaded", LeastLoadedPlacement);
    bench_policy(criterion, "round-robin", RoundRobinPlacement::default());
}

criterion_group!(benches, bench_decisions);
criterion_main!(benches);
