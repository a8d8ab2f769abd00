//! Which need comes first: of all over their budget, the one that reaches it at the smallest part of the full size; among
//! those within a factor of two of it, the one on which most of the others rest.

use super::rows::{Row, RowId, all};
use super::{Design, Inputs, Slopes};

/// Parts of the full size among which the budget is looked for.
const LEAST_PART: f64 = 1e-6;
const MOST_PART: f64 = 1.0;
/// Halvings of the span on a logarithmic scale: enough for all digits that are shown.
const HALVINGS: u32 = 60;
/// Needs that reach their budgets within this factor count as equal.
const CLOSE: f64 = 2.0;

/// A need over its budget.
pub struct Ranked {
    pub row: Row,
    pub need: f64,
    pub budget: f64,
    /// The part of the full size at which the budget is reached.
    pub part: f64,
    /// The other needs over their budgets that rest on this one.
    pub carried: usize,
}

/// Needs over their budgets by the part at which they reach them.
pub struct Ranking {
    pub all: Vec<Ranked>,
    /// The place in `all` of the one that comes first.
    pub first: Option<usize>,
}

/// The need of a row at a part of the full size.
fn need(row: &Row, inputs: &Inputs, part: f64) -> f64 {
    (row.value)(&Inputs {
        size: inputs.size.part(part),
        ..*inputs
    })
}

/// The part at which a need that grows reaches its budget.
fn part_at(row: &Row, inputs: &Inputs, budget: f64) -> f64 {
    let (mut least, mut most) = (LEAST_PART.ln(), MOST_PART.ln());
    for _ in 0..HALVINGS {
        let middle = (least + most) / 2.0;
        match need(row, inputs, middle.exp()) > budget {
            true => most = middle,
            false => least = middle,
        }
    }
    most.exp()
}

/// Whether a row rests on another one, by however many steps.
fn rests_on(rows: &[(RowId, Option<RowId>)], row: RowId, on: RowId) -> bool {
    let next = rows
        .iter()
        .find(|(id, _)| *id == row)
        .and_then(|(_, next)| *next);
    next.is_some_and(|next| next == on || rests_on(rows, next, on))
}

/// Ranks the needs of a design at the full size.
pub fn rank(slopes: Slopes, design: Design) -> Ranking {
    let inputs = Inputs::design(slopes, design);
    let Inputs { size, budgets, .. } = inputs;
    let rests: Vec<(RowId, Option<RowId>)> =
        all().iter().map(|row| (row.id, row.rests_on)).collect();
    let over = |row: Row| {
        let budget = row.budget.map(|budget| budget(&budgets, &size))?;
        let need = (row.value)(&inputs);
        let part = part_at(&row, &inputs, budget);
        (need > budget).then_some(Ranked {
            row,
            need,
            budget,
            part,
            carried: 0,
        })
    };
    let mut ranked: Vec<Ranked> = all().into_iter().filter_map(over).collect();
    ranked.sort_by(|a, b| a.part.total_cmp(&b.part));
    let ids: Vec<RowId> = ranked.iter().map(|ranked| ranked.row.id).collect();
    for ranked in &mut ranked {
        ranked.carried = ids
            .iter()
            .filter(|id| rests_on(&rests, **id, ranked.row.id))
            .count();
    }
    let close = ranked.first().map_or(0.0, |first| first.part * CLOSE);
    let candidates = ranked
        .iter()
        .enumerate()
        .filter(|(_, ranked)| ranked.part <= close);
    // The earlier one where as much rests on two.
    let first = candidates
        .rev()
        .max_by_key(|(_, ranked)| ranked.carried)
        .map(|(place, _)| place);
    Ranking { all: ranked, first }
}
