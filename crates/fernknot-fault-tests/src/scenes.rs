//! The schedules that are played: one for each thing that can go wrong between routers.

use crate::schedule::{Schedule, Step};

pub const NAMES: [&str; 12] = [
    "crash", "pause", "loss", "late", "pair", "one-way", "hears", "speaks", "split", "herd", "roll", "again",
];
/// Trials with a fault that the checker is not told of: it has to find the promise that is broken.
pub const PLANTED: [(&str, &str); 2] = [("planted-lost", "no-false-lost"), ("planted-stop", "one-answer")];

/// The schedule of this name; `None` for a name that is none.
pub fn scene(name: &str, routers: usize, seed: u64, period_ms: f64) -> Option<Schedule> {
    let all: Vec<usize> = (0..routers).collect();
    // Which routers are hit goes by the seed, so that seeds differ in more than the network's chance.
    let one = seed as usize % routers;
    let other = (one + 1 + seed as usize / routers % (routers - 1)) % routers;
    let but =
        |some: &[usize]| -> Vec<usize> { all.iter().copied().filter(|id| !some.contains(id)).collect() };
    let words = |words: &[&str]| words.iter().map(|word| word.to_string()).collect();
    let sees = |by: Vec<usize>, of: Vec<usize>, is: &[&str]| Step::Await { by, of, is: words(is) };
    let view = |by: Vec<usize>, key: &str, is: bool| Step::View { by, key: key.to_string(), is };
    let cut = |from: Vec<usize>, to: Vec<usize>| Step::Cut { from, to, secret: false };
    let mend = || Step::Mend { from: all.clone(), to: all.clone() };
    let whole = || [sees(all.clone(), all.clone(), &["alive"]), view(all.clone(), "majority", true)];
    let lasting = |periods: f64| Step::Last { ms: (period_ms * periods) as u64 };
    let steps: Vec<Step> = match name {
        "crash" => vec![
            Step::Kill { routers: vec![one] },
            sees(but(&[one]), vec![one], &["lost"]),
            view(but(&[one]), "majority", true),
            Step::Start { routers: vec![one] },
        ],
        "pause" => vec![
            Step::Stop { routers: vec![one] },
            // Under the least time of a doubt: nobody may be held for lost.
            lasting(5.0),
            Step::Wake { routers: vec![one] },
            Step::Settle { periods: 20 },
        ],
        "loss" => vec![
            Step::Spoil { lose: 0.2, repeat: 0.0, delay_ms: 0.0 },
            lasting(40.0),
            Step::Spoil { lose: 0.0, repeat: 0.0, delay_ms: 0.0 },
        ],
        "late" => vec![
            Step::Spoil { lose: 0.0, repeat: 0.2, delay_ms: period_ms / 4.0 },
            lasting(40.0),
            Step::Spoil { lose: 0.0, repeat: 0.0, delay_ms: 0.0 },
        ],
        "pair" => vec![
            cut(vec![one], vec![other]),
            cut(vec![other], vec![one]),
            Step::Settle { periods: 30 },
            sees(all.clone(), all.clone(), &["alive", "doubted"]),
            mend(),
        ],
        "one-way" => vec![
            cut(vec![one], vec![other]),
            Step::Settle { periods: 30 },
            sees(all.clone(), all.clone(), &["alive", "doubted"]),
            mend(),
        ],
        // It hears all, and nobody hears it: to the others it is gone; it accuses nobody itself.
        "hears" => vec![
            cut(vec![one], all.clone()),
            sees(but(&[one]), vec![one], &["lost"]),
            sees(vec![one], but(&[one]), &["alive", "doubted"]),
            mend(),
        ],
        // All hear it, and it hears nobody: it accuses nobody, and takes itself for alone.
        "speaks" => vec![
            cut(but(&[one]), vec![one]),
            view(vec![one], "alone", true),
            view(vec![one], "majority", false),
            Step::Settle { periods: 20 },
            sees(vec![one], but(&[one]), &["alive", "doubted"]),
            mend(),
        ],
        "split" => {
            let (few, many) = all.split_at(routers / 2 - usize::from(routers.is_multiple_of(2)));
            let (few, many) = (few.to_vec(), many.to_vec());
            vec![
                cut(few.clone(), many.clone()),
                cut(many.clone(), few.clone()),
                sees(many.clone(), few.clone(), &["lost"]),
                view(many, "majority", true),
                view(few, "majority", false),
                mend(),
            ]
        }
        "herd" => {
            let dead: Vec<usize> = all.iter().copied().take(routers * 7 / 10).collect();
            vec![
                Step::Kill { routers: dead.clone() },
                sees(but(&dead), dead.clone(), &["lost"]),
                view(but(&dead), "majority", false),
                Step::Start { routers: dead },
            ]
        }
        "roll" => {
            let each = |id: &usize| {
                [
                    Step::Term { routers: vec![*id] },
                    sees(but(&[*id]), vec![*id], &["left", "alive"]),
                    Step::Start { routers: vec![*id] },
                    sees(all.clone(), all.clone(), &["alive"]),
                ]
            };
            all.iter().take(3).flat_map(each).collect()
        }
        "again" => {
            let each = || {
                [
                    Step::Kill { routers: vec![one] },
                    Step::Start { routers: vec![one] },
                    // The one that starts has to hear of all; that the others never noticed is as good.
                    sees(all.clone(), all.clone(), &["alive"]),
                    Step::Settle { periods: 5 },
                ]
            };
            [each(), each(), each()].concat()
        }
        "planted-lost" => vec![
            Step::Cut { from: vec![one], to: all.clone(), secret: true },
            sees(but(&[one]), vec![one], &["lost"]),
            mend(),
        ],
        "planted-stop" => vec![
            // With work in hand for certain, that ends without an answer.
            Step::Silence { routers: vec![one] },
            Step::Settle { periods: 5 },
            Step::Kill { routers: vec![one] },
            Step::Start { routers: vec![one] },
            Step::Speak { routers: vec![one] },
        ],
        _ => return None,
    };
    let steps = steps.into_iter().chain(whole()).collect();
    Some(Schedule { name: name.to_string(), routers, seed, period_ms, load_per_s: 30.0, steps })
}
