//! Interned names and the values kept under them.

use std::collections::HashMap;
use std::marker::PhantomData;

/// A key that counts the slots of an [`Arena`].
pub trait ArenaKey: Copy {
    /// Makes the key of a slot.
    fn from_index(index: u32) -> Self;
    /// The slot of the key.
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

/// Values by name, each with a small key that stays valid for the life of the arena.
///
/// Slots are never reused: a name that left and came back gets its old key, so a key held
/// elsewhere cannot come to mean something else.
#[derive(Clone, Debug)]
pub struct Arena<K, T> {
    names: HashMap<String, u32>,
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
            names: HashMap::new(),
            slots: Vec::new(),
            key: PhantomData,
        }
    }
}

impl<K: ArenaKey, T> Arena<K, T> {
    /// The key of a name, which gets a slot when it has none.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(index) = self.names.get(name) {
            return K::from_index(*index);
        }
        let index = self.slots.len() as u32;
        self.names.insert(name.to_owned(), index);
        self.slots.push(Slot {
            name: name.to_owned(),
            value: None,
        });
        K::from_index(index)
    }

    /// The key of a name that has a slot.
    pub fn find(&self, name: &str) -> Option<K> {
        self.names.get(name).map(|index| K::from_index(*index))
    }

    /// The name of a key.
    pub fn name(&self, key: K) -> &str {
        &self.slots[key.index()].name
    }

    /// The value of a key, unless it has left.
    pub fn get(&self, key: K) -> Option<&T> {
        self.slots.get(key.index())?.value.as_ref()
    }

    /// The value of a key, to be changed, unless it has left.
    pub fn get_mut(&mut self, key: K) -> Option<&mut T> {
        self.slots.get_mut(key.index())?.value.as_mut()
    }

    /// Sets or clears the value of a key.
    pub fn set(&mut self, key: K, value: Option<T>) {
        self.slots[key.index()].value = value;
    }

    /// Every key that has a value, in the order of the slots.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(index, slot)| Some((K::from_index(index as u32), slot.value.as_ref()?)))
    }
}
