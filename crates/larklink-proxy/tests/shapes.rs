//! Proxies of two shapes in front of the same servers, as during a move to a deployment of another shape
//! (`docs/migration.md`). This test is alone in its test binary, because it needs the whole machine.
mod scenario_runner;
use scenario_runner::{MULTIPLE_FAULTS, assert_passed, run_scenario};

/// Two proxies of the old shape send health checks and place sessions by the bucket table alone; two of the moved shape
/// send none and prefer their own zone. There are no violations, and each shape has about the same share of its
/// sessions accepted as if all proxies had the old shape.
#[test]
fn proxies_of_neither_shape_starve_those_of_the_other() {
    let run_fleet = |moved, extra: &str, seed| {
        let shape = format!("count = 4\nzones = 2\nmoved = {moved}\n[[servers]]");
        let text = MULTIPLE_FAULTS
            .replace("count = 2\n[[servers]]", &shape)
            .replace("which = [1, 2]", "which = [1]");
        let report = run_scenario(&(text + extra), seed, None);
        let shares = report.shapes.map(|shape| shape.acceptance_ratio());
        (report, shares)
    };
    // The share differs between runs by 0.04, once by 0.1, so the mean of two runs is compared.
    let mean_shares = |moved, extra| {
        let mut sum = [0.0, 0.0];
        for seed in 1..=2 {
            let (report, shares) = run_fleet(moved, extra, seed);
            assert_passed(&report);
            assert!(
                moved == 0 || report.shapes.iter().all(|shape| shape.opened > 100),
                "{:?}",
                report.shapes
            );
            (0..2).for_each(|n| sum[n] += shares[n] / 2.0);
        }
        sum
    };
    let [all_old, none] = mean_shares(0, "");
    assert_eq!(none, 0.0);
    let mixed = mean_shares(2, "[must]\neach_shape = 0.75\n");
    assert!(
        mixed.iter().all(|share| *share > all_old - 0.1),
        "{mixed:?}, but {all_old} if all proxies have the old shape"
    );
    // If the proxies of the moved shape are down for most of the run, their clients are not served, and the report says
    // so.
    let moved_down = "[[faults]]\nwhat = 'proxy-killed'\nat = '500ms'\nfor = '9s'\nwhich = [2, 3]\n\
                [front]\nnotices_after = '9s'\n[must]\neach_shape = 0.75\n";
    let (report, shares) = run_fleet(2, moved_down, 1);
    assert!(
        report.unmet_requirements.iter().any(|u| u.contains("proxies of the moved shape")),
        "{:?}",
        report.unmet_requirements
    );
    assert!(shares[1] < all_old - 0.1, "{shares:?}");
}
