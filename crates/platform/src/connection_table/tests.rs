use super::*;
use quickcheck::quickcheck;
use std::collections::BTreeMap;

quickcheck! {
    /// Reference model: an ordered map.
    fn the_table_behaves_like_an_ordered_map(steps: Vec<(u8, u8)>) -> bool {
        let (mut table, mut model) = (ConnectionTable::default(), BTreeMap::new());
        steps.into_iter().all(|(key, value)| {
            let key = usize::from(key % 16);
            let same_result = match model.contains_key(&key) {
                true => table.remove(key) == model.remove(&key) && table.remove(key).is_none(),
                false => {
                    table.insert(key, value);
                    model.insert(key, value).is_none()
                }
            };
            same_result
                && table.len() == model.len()
                && table.get(key) == model.get(&key)
                && table.get_mut(key) == model.get_mut(&key)
                && table.iter().map(|(key, value)| (key, *value)).eq(model.iter().map(|(k, v)| (*k, *v)))
        })
    }
}
