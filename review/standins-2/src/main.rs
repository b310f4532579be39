//! Cases of the second review: each starts nodes as processes beside stand-ins of the platform, servers and clients.
//!
//! `review-standins-2 CASE FOLDER RECORD`; exit code 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.

mod base64;
mod client;
mod fleet;
mod http;
mod json;
mod limit_case;
mod parts_case;
mod record;
mod request_case;
mod server;
mod store;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// Whether the rule held.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = args.as_slice() else {
        eprintln!("usage: review-standins-2 CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let folder = Path::new(folder);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let result = Record::create(Path::new(record)).and_then(|record| {
        let result = match case.as_str() {
            "limit" => limit_case::run(folder, &record, has_trouble),
            "parts" => parts_case::run(folder, &record, has_trouble),
            "request" => request_case::run(folder, &record, has_trouble),
            other => Err(std::io::Error::other(format!("no case {other}"))),
        };
        record.flush();
        result
    });
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case couldn't run: {e}");
            ExitCode::from(2)
        }
    }
}
