//! What the platform does to a process that exceeds its memory.

use std::time::{Duration, Instant};

use super::Deployment;
use crate::base::Record;

/// Delay from the end of a process until the platform starts it again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Until `end`, ends each gateway that exceeds `memoryMb`, and starts it again. Returns how often.
pub fn watch_memory(record: &Record, deployment: &mut Deployment, end: Instant) -> u32 {
    let gateways = deployment.gateways.clone();
    let mut restart_at: Vec<Option<Instant>> = vec![None; gateways.len()];
    let mut peaks = vec![0; gateways.len()];
    let mut kills = 0;
    while Instant::now() < end {
        for (at, gateway) in gateways.iter().enumerate() {
            if let Some(due) = restart_at[at] {
                if Instant::now() >= due {
                    let folder = deployment.scratch.0.clone();
                    gateway.start(deployment.store.address, &folder, &mut deployment.processes);
                    record.line(&format!("{} starts again", gateway.name));
                    restart_at[at] = None;
                }
                continue;
            }
            let memory = resident_mb(deployment.processes.child(&gateway.name).id());
            peaks[at] = memory.max(peaks[at]);
            if memory > gateway.memory_mb {
                deployment.processes.signal(&gateway.name, "KILL");
                let _ = deployment.processes.child(&gateway.name).wait();
                record.say(&format!(
                    "{} is ended: {memory} MB of {}",
                    gateway.name, gateway.memory_mb
                ));
                restart_at[at] = Some(Instant::now() + RESTART_DELAY);
                kills += 1;
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    record.say(&format!("most memory at each gateway: {peaks:?} MB"));
    kills
}

fn resident_mb(id: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0");
    line.split_whitespace().next().and_then(|it| it.parse::<u64>().ok()).unwrap_or(0) / 1024
}
