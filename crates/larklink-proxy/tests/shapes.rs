//! Proxies of two shapes before the same servers, as during a move. Alone in its file: it wants the machine for itself.
mod kit;
use kit::{TROUBLED, clean, rehearse};

/// During a move proxies of two shapes stand before the same servers: two that probe and go by the table alone, two
/// that may not probe and keep near. No rule breaks, and neither kind gets less than where all are of the old one.
#[test]
fn neither_of_two_shapes_of_proxies_starves_the_other() {
    let fleet = |moved, more: &str, seed| {
        let shape = format!("count = 4\nzones = 2\nmoved = {moved}\n[[servers]]");
        let text =
            TROUBLED.replace("count = 2\n[[servers]]", &shape).replace("which = [1, 2]", "which = [1]");
        let report = rehearse(&(text + more), seed, None);
        let share = report.shapes.map(|s| s.share());
        (report, share)
    };
    // One run's share differs from the next one's by 0.04, once by 0.1: two of each are compared.
    let mean = |moved, more| {
        let mut sum = [0.0, 0.0];
        for seed in 1..=2 {
            let (report, share) = fleet(moved, more, seed);
            clean(&report);
            assert!(moved == 0 || report.shapes.iter().all(|s| s.opened > 100), "{:?}", report.shapes);
            (0..2).for_each(|n| sum[n] += share[n] / 2.0);
        }
        sum
    };
    let [alone, none] = mean(0, "");
    assert_eq!(none, 0.0);
    let mixed = mean(2, "[must]\neach_shape = 0.75\n");
    assert!(
        mixed.iter().all(|share| *share > alone - 0.1),
        "{mixed:?}, {alone} where all are of the old shape"
    );
    // With the moved ones dead for most of the run who comes to them gets nothing, and that is found.
    let dead = "[[faults]]\nwhat = 'proxy-killed'\nat = '500ms'\nfor = '9s'\nwhich = [2, 3]\n\
                [front]\nnotices_after = '9s'\n[must]\neach_shape = 0.75\n";
    let (report, starved) = fleet(2, dead, 1);
    assert!(
        report.unmet_requirements.iter().any(|u| u.contains("proxies of the moved shape")),
        "{:?}",
        report.unmet_requirements
    );
    assert!(starved[1] < alone - 0.1, "{starved:?}");
}
