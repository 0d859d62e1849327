//! State that few of many objects have.

use std::ops::{Deref, DerefMut};

/// A value that takes no memory until it is first changed.
#[derive(Clone, Debug)]
pub struct Sparse<T>(Option<Box<T>>);

/// The value of a [`Sparse`] that hasn't been changed.
pub trait Unset: Default + 'static {
    /// A shared default value.
    const UNSET: &'static Self;
}

impl<T> Default for Sparse<T> {
    fn default() -> Self {
        Self(None)
    }
}

impl<T: Unset> Deref for Sparse<T> {
    type Target = T;

    fn deref(&self) -> &T {
        self.0.as_deref().unwrap_or(T::UNSET)
    }
}

impl<T: Unset> DerefMut for Sparse<T> {
    fn deref_mut(&mut self) -> &mut T {
        self.0.get_or_insert_default()
    }
}

impl<T> Sparse<T> {
    /// Returns the value for changes that only concern one that has been changed before.
    pub fn known_mut(&mut self) -> Option<&mut T> {
        self.0.as_deref_mut()
    }
}

impl<T> From<T> for Sparse<T> {
    fn from(value: T) -> Self {
        Self(Some(Box::new(value)))
    }
}
