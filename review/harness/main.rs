//! Stand-ins and cases of the review. `harness server ...` serves one backend server,
//! `harness run CASE FOLDER` runs a case.

use std::time::Duration;

mod base;
mod cases;
mod server;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["server", ref options @ ..] => server::serve(options),
        ["run", case, folder] => {
            std::thread::spawn(|| {
                std::thread::sleep(Duration::from_secs(110));
                base::give_up("it takes too long");
            });
            cases::run(case, folder);
        }
        _ => base::give_up("usage: harness run CASE FOLDER"),
    }
}
