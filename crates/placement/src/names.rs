//! Names of zones, regions and members. Each has its own type so that the compiler rejects mix-ups.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(
            /// The name as declared.
            pub String,
        );

        impl $name {
            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(name.to_owned())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// The name of a zone: a group of members that may fail together, such as those of a data center.
    ZoneName
}
name_type! {
    /// The name of a region: a group of zones that are close to one another.
    RegionName
}
name_type! {
    /// The name of a member, which is one dispatcher.
    MemberName
}
