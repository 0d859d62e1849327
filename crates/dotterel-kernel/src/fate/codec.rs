//! Serialization of a fate: with a tag in JSON, by position between nodes.
//!
//! Formats without field names cannot read an adjacently tagged enum, because a variant without
//! content leaves the content field out.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::{Fate, Reason};

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fate", content = "reason")]
enum Tagged {
    Ran,
    NotRun(Reason),
    Unknown,
}

#[derive(Serialize, Deserialize)]
enum Compact {
    Ran,
    NotRun(Reason),
    Unknown,
}

impl Serialize for Fate {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return Tagged::from(*self).serialize(serializer);
        }
        Compact::from(*self).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Fate {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            return Tagged::deserialize(deserializer).map(Self::from);
        }
        Compact::deserialize(deserializer).map(Self::from)
    }
}

macro_rules! convert {
    ($form:ident) => {
        impl From<Fate> for $form {
            fn from(fate: Fate) -> Self {
                match fate {
                    Fate::Ran => Self::Ran,
                    Fate::NotRun(reason) => Self::NotRun(reason),
                    Fate::Unknown => Self::Unknown,
                }
            }
        }

        impl From<$form> for Fate {
            fn from(form: $form) -> Self {
                match form {
                    $form::Ran => Self::Ran,
                    $form::NotRun(reason) => Self::NotRun(reason),
                    $form::Unknown => Self::Unknown,
                }
            }
        }
    };
}

convert!(Tagged);
convert!(Compact);
