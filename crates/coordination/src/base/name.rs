//! Names and ids as newtypes over shared immutable strings.

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
            /// Returns the name as a string slice.
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
    /// Name of an adapter (a fine-tuned delta) that an engine can apply to a model.
    AdapterName
);
name_type!(
    /// Id of one configuration change; repeated submissions carry the same id.
    ChangeId
);
name_type!(
    /// Idempotency key of a non-idempotent call.
    ClaimKey
);
name_type!(
    /// Name of a customer, as stated in its credential.
    CustomerName
);
name_type!(
    /// Name of a data centre, the failure domain above a host.
    DataCentreName
);
name_type!(
    /// Name of a host, which runs one daemon.
    HostName
);
name_type!(
    /// Name of a model that pipelines serve.
    ModelName
);
name_type!(
    /// Name of an operator, as stated in its credential.
    OperatorName
);
name_type!(
    /// Name of a part of prompts; two requests with the same part share its content.
    PartName
);
name_type!(
    /// Id of one caller's request, unique across all hosts.
    RequestId
);
name_type!(
    /// Name of a selector, unique in the configuration.
    SelectorName
);
name_type!(
    /// Name of a backend server, which is a model engine or an instance of a plain service.
    ServerName
);
name_type!(
    /// Name of a service that backend servers offer.
    ServiceName
);
name_type!(
    /// Name of one version of a model's weights.
    VersionName
);
