//! Case: a client that is not sound sends the id of another client's open request while the process is replaced.
use std::io::Result;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::kit::{
    Client, Discovery, Folder, Proxy, Record, Server, Settings, Verdict, free_address, wait_for_pong,
};

/// The grace of the rule on drains, which this case does not touch.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// How many clients have an open request, and how many others send their ids.
const CLIENTS: u64 = 20;
/// How long after the new process said yes the old one gets SIGTERM: "within 6 s".
const STOPS_AFTER: Duration = Duration::from_secs(2);
/// How long a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// The first line of the sound client, or of the one that sends its id with a key and a group of its own.
fn first_line(id: u64, sound: bool) -> String {
    let key = if sound { id * 31 } else { 0xbad_0000 + id };
    format!("OPEN {:016x} {key:016x} c=orders,t=depot,d=2000,g={key:x}", 0x9b1f_0000 + id)
}

/// Lets each of the other clients send the id of an open request. Returns how many were served.
fn send_ids(record: &Record, proxy: &Settings) -> Result<usize> {
    let mut served = 0;
    for id in 0..CLIENTS {
        let mut client = Client::connect(proxy.listen)?;
        let line = first_line(id, false);
        let answer = client.ask(&line, ANSWER_TIMEOUT);
        record.note(&format!("other client: \"{line}\", answered \"{answer}\""));
        served += usize::from(answer.starts_with("UP "));
    }
    Ok(served)
}

/// Lets each sound client send a line. Returns how many were answered: their requests are still open.
fn check_open(record: &Record, clients: &mut [Client]) -> usize {
    let answers: Vec<_> = clients.iter_mut().map(|client| client.ask("hello", ANSWER_TIMEOUT)).collect();
    let open = answers.iter().filter(|answer| *answer == "OK hello").count();
    record.note(&format!("{open} of {} sound clients' lines were answered", clients.len()));
    open
}

pub fn run(folder: &Folder, case: &Path, record: &Record, trouble: bool) -> Result<Verdict> {
    let names = ["s-1", "s-2", "s-3", "s-4"];
    let servers = names.iter().map(|name| Server::start(record, name)).collect::<Result<Vec<_>>>()?;
    let entries: Vec<_> = servers.iter().map(|server| server.entry("up")).collect();
    let discovery = Discovery::start(record, "agent", 41, entries.clone())?;
    let settings = Settings {
        listen: free_address()?,
        discovery: discovery.address,
        known_index: 41,
        known: entries,
        drain_grace: DRAIN_GRACE,
        asked: false,
        proxies: 1,
    };
    let config = folder.0.join("config.json");
    settings.write(&config)?;
    let log = case.join("proxy.log");
    let mut old = Proxy::start(record, "old", &config, folder, &log)?;
    old.wait_until_ready(Duration::from_secs(10))?;
    wait_for_pong(settings.listen, Duration::from_secs(5))?;

    let mut sound = Vec::new();
    for id in 0..CLIENTS {
        let mut client = Client::connect(settings.listen)?;
        let line = first_line(id, true);
        let answer = client.ask(&line, ANSWER_TIMEOUT);
        record.note(&format!("sound client: \"{line}\", answered \"{answer}\""));
        if !answer.starts_with("UP ") {
            record.say("could not run: a sound client was not served");
            return Ok(Verdict::CouldNotRun);
        }
        sound.push(client);
    }
    let served_before = send_ids(record, &settings)?;
    let mut new = None;
    if trouble {
        settings.write(&config)?;
        let process = Proxy::start(record, "new", &config, folder, &log)?;
        process.wait_until_ready(Duration::from_secs(10))?;
        new = Some(process);
    }
    thread::sleep(Duration::from_millis(500));
    let open_before = check_open(record, &mut sound);
    let served_during = send_ids(record, &settings)?;
    let open_during = check_open(record, &mut sound);
    if let Some(new) = &mut new {
        thread::sleep(STOPS_AFTER);
        old.signal("TERM")?;
        old.wait()?;
        if !new.runs() {
            record.say("could not run: the new process has ended");
            return Ok(Verdict::CouldNotRun);
        }
    } else if !old.runs() {
        record.say("could not run: the proxy has ended");
        return Ok(Verdict::CouldNotRun);
    }
    let open_after = check_open(record, &mut sound);
    record.say(&format!(
        "{CLIENTS} open requests ({open_before}, {open_during} and {open_after} answered a line later); other clients \
         with their ids: {served_before} served before, {served_during} served after the new process said yes"
    ));
    if open_before.min(open_during).min(open_after) < sound.len() {
        record.say("could not run: not all requests stayed open");
        return Ok(Verdict::CouldNotRun);
    }
    Ok(if served_before + served_during == 0 { Verdict::Held } else { Verdict::Broken })
}
