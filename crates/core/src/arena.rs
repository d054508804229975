//! String interning with a value per name.

use std::collections::HashMap;
use std::marker::PhantomData;

/// A key that is the index of a slot in an [`Arena`].
pub trait ArenaKey: Copy {
    /// Creates the key of a slot.
    fn from_index(index: u32) -> Self;
    /// The slot index of the key.
    fn index(self) -> usize;
}

macro_rules! arena_key {
    ($($name:ident),*) => {
        $(impl ArenaKey for crate::ids::$name {
            fn from_index(index: u32) -> Self {
                Self(index)
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        })*
    };
}

arena_key!(EntryKey, RegionKey, ServerKey);

/// Interned names with an optional value each.
///
/// A key stays valid for the lifetime of the arena. Slots are never reused: a name that is removed
/// and added again keeps its key, so a key held elsewhere never refers to another name.
#[derive(Clone, Debug)]
pub struct Arena<K, T> {
    indexes: HashMap<String, u32>,
    slots: Vec<Slot<T>>,
    key: PhantomData<K>,
}

#[derive(Clone, Debug)]
struct Slot<T> {
    name: String,
    value: Option<T>,
}

impl<K: ArenaKey, T> Default for Arena<K, T> {
    fn default() -> Self {
        Self {
            indexes: HashMap::new(),
            slots: Vec::new(),
            key: PhantomData,
        }
    }
}

impl<K: ArenaKey, T> Arena<K, T> {
    /// The key of a name; adds a slot without a value if the name is new.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(index) = self.indexes.get(name) {
            return K::from_index(*index);
        }
        let index = self.slots.len() as u32;
        self.indexes.insert(name.to_owned(), index);
        self.slots.push(Slot {
            name: name.to_owned(),
            value: None,
        });
        K::from_index(index)
    }

    /// The key of a name, if it was interned.
    pub fn find(&self, name: &str) -> Option<K> {
        self.indexes.get(name).map(|index| K::from_index(*index))
    }

    /// The name of a key.
    pub fn name(&self, key: K) -> &str {
        &self.slots[key.index()].name
    }

    /// The value of a key, if it is set.
    pub fn get(&self, key: K) -> Option<&T> {
        self.slots.get(key.index())?.value.as_ref()
    }

    /// The mutable value of a key, if it is set.
    pub fn get_mut(&mut self, key: K) -> Option<&mut T> {
        self.slots.get_mut(key.index())?.value.as_mut()
    }

    /// Sets or clears the value of a key.
    pub fn set(&mut self, key: K, value: Option<T>) {
        self.slots[key.index()].value = value;
    }

    /// All keys that have a value, in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(index, slot)| Some((K::from_index(index as u32), slot.value.as_ref()?)))
    }
}
