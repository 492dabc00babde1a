//! Plays the cases of the review against the built proxy: `review CASE FOLDER`, from the root of the repository.
//! `TROUBLE=0` leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
mod kit;
mod large_fleet;
mod open_id;
mod slow_list;

use std::path::{Path, PathBuf};

use kit::{Folder, Record, Verdict};

fn play(case: &str, folder: &Path) -> std::io::Result<Verdict> {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&folder.join("record.txt"))?;
    record.say(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let temporary = Folder::create()?;
    let _ = std::fs::remove_file(folder.join("proxy.log"));
    let verdict = match case {
        "large-fleet" => large_fleet::run(&temporary, folder, &record, trouble)?,
        "open-id" => open_id::run(&temporary, folder, &record, trouble)?,
        "slow-list" => slow_list::run(&temporary, folder, &record, trouble)?,
        _ => return Err(std::io::Error::other("no such case")),
    };
    record.say(match verdict {
        Verdict::Held => "the rule held",
        Verdict::Broken => "the rule was broken",
        Verdict::CouldNotRun => "the case could not run",
    });
    Ok(verdict)
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    match play(&case, &folder) {
        Ok(verdict) => verdict.exit(),
        Err(error) => {
            println!("could not run: {error}");
            Verdict::CouldNotRun.exit()
        }
    }
}
