//! Names and ids as shared immutable strings.

use std::sync::Arc;

use derive_more::{AsRef, Display, From};
use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, From, AsRef, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        #[from(&str, String, Arc<str>)]
        #[as_ref(str)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name_type!(
    /// An adapter (a fine-tuned delta) that an engine can apply to a model.
    AdapterName
);
name_type!(
    /// Identity of one configuration change; resends carry the same id.
    ChangeId
);
name_type!(
    /// Idempotency key of a call that may not be repeated.
    ClaimKey
);
name_type!(
    /// A customer, as named by its credential.
    CustomerName
);
name_type!(
    /// A data centre, the failure domain above a host.
    DataCentreName
);
name_type!(
    /// A host that runs one daemon.
    HostName
);
name_type!(
    /// A model that pipelines serve.
    ModelName
);
name_type!(
    /// An operator, as named by its credential.
    OperatorName
);
name_type!(
    /// Identity of one caller's request, unique across all hosts.
    RequestId
);
name_type!(
    /// A selector, unique in the configuration.
    SelectorName
);
name_type!(
    /// A backend server: a model engine or a plain service instance.
    ServerName
);
name_type!(
    /// A plain service that backend servers offer.
    ServiceName
);
name_type!(
    /// One version of a model's weights.
    VersionName
);
