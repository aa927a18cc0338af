//! Weighted max-min fair shares of a capacity among workspaces.

/// Returns the part of `capacity` granted to each demand: a demand that is below its fair share is
/// met in full, and what is left is divided among the others by weight.
///
/// `demands` and `weights` have the same length; the result sums to at most `capacity`.
pub fn shares(demands: &[f64], weights: &[f64], capacity: f64) -> Vec<f64> {
    let mut granted = vec![0.0; demands.len()];
    let mut unmet: Vec<usize> = (0..demands.len()).collect();
    let mut left = capacity;
    while !unmet.is_empty() && left > 0.0 {
        let weight: f64 = unmet.iter().map(|i| weights[*i]).sum();
        let level = left / weight.max(f64::MIN_POSITIVE);
        let (fit, rest): (Vec<usize>, Vec<usize>) =
            unmet.iter().partition(|i| demands[**i] <= level * weights[**i]);
        if fit.is_empty() {
            for i in rest {
                granted[i] = level * weights[i];
            }
            return granted;
        }
        for i in fit {
            granted[i] = demands[i];
            left -= demands[i];
        }
        unmet = rest;
    }
    granted
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    #[test]
    fn small_demands_are_met_in_full() {
        assert_eq!(shares(&[100.0, 5.0, 5.0], &[1.0, 1.0, 1.0], 40.0), vec![30.0, 5.0, 5.0]);
    }

    quickcheck! {
        fn never_more_than_demanded_or_there(demands: Vec<u8>, capacity: u16) -> bool {
            let demands: Vec<f64> = demands.iter().map(|d| f64::from(*d)).collect();
            let weights = vec![1.0; demands.len()];
            let capacity = f64::from(capacity);
            let granted = shares(&demands, &weights, capacity);
            let sum: f64 = granted.iter().sum();
            let within = granted.iter().zip(&demands).all(|(g, d)| *g <= d + 1e-9);
            let wanted: f64 = demands.iter().sum();
            within && sum <= capacity + 1e-6 && sum >= capacity.min(wanted) - 1e-6
        }
    }
}
