//! What is known of requests, backend servers and hosts apart from the operators' labels.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::label::LabelSet;
use crate::base::{
    AdapterName, CustomerName, DataCentreName, HostName, ModelName, ServerName, ServiceName,
    VersionName,
};

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RequestTarget {
    /// A draft by a model.
    Model {
        /// The model.
        model: ModelName,
        /// The adapter that the caller names.
        adapter: Option<AdapterName>,
    },
    /// A call of a plain service.
    Service(ServiceName),
}

/// Facts of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestFacts {
    /// Whose request it is.
    pub customer: CustomerName,
    /// What it asks for.
    pub target: RequestTarget,
    /// Path of the HTTP request, without its query; empty where there is none.
    pub path: Arc<str>,
    /// Further attributes such as header values, by a key without prefix; they become labels
    /// `request/KEY`. A value that can be no label value is left out.
    pub attributes: BTreeMap<Arc<str>, Arc<str>>,
}

impl RequestFacts {
    /// Facts of a draft.
    pub fn draft(customer: CustomerName, model: ModelName) -> Self {
        let adapter = None;
        Self::of(customer, RequestTarget::Model { model, adapter })
    }

    /// Facts of a service call.
    pub fn call(customer: CustomerName, service: ServiceName) -> Self {
        Self::of(customer, RequestTarget::Service(service))
    }

    fn of(customer: CustomerName, target: RequestTarget) -> Self {
        Self {
            customer,
            target,
            path: Arc::from(""),
            attributes: BTreeMap::new(),
        }
    }

    /// The facts as labels `request/...` and `customer/name`.
    pub(super) fn labels(&self) -> LabelSet {
        let mut labels = LabelSet::default();
        for (key, value) in &self.attributes {
            labels.set_text(&format!("request/{key}"), value);
        }
        match &self.target {
            RequestTarget::Service(service) => {
                labels.set_text("request/service", service.as_str());
            }
            RequestTarget::Model { model, adapter } => {
                labels.set_text("request/model", model.as_str());
                if let Some(adapter) = adapter {
                    labels.set_text("request/adapter", adapter.as_str());
                }
            }
        }
        labels.set_text("request/path", &self.path);
        labels.set_text("customer/name", self.customer.as_str());
        labels
    }
}

/// Facts that a backend server announced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerFacts {
    /// Its name.
    pub name: ServerName,
    /// Kind of its accelerators; empty for a plain service.
    pub kind: Arc<str>,
    /// Model that it holds layers of.
    pub model: Option<ModelName>,
    /// Version of that model.
    pub version: Option<VersionName>,
    /// Adapters that it can apply.
    pub adapters: Vec<AdapterName>,
    /// Plain service that it offers.
    pub service: Option<ServiceName>,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Its role: `prefill`, `decode` or `both`; empty for a plain service.
    pub role: Arc<str>,
}

impl ServerFacts {
    /// The facts as labels `announced/...`; each adapter is a label `announced/adapter.NAME`.
    pub(super) fn labels(&self) -> LabelSet {
        let mut labels = LabelSet::default();
        labels.set_text("announced/name", self.name.as_str());
        labels.set_text("announced/kind", &self.kind);
        labels.set_text("announced/data-centre", self.data_centre.as_str());
        labels.set_text("announced/role", &self.role);
        if let Some(model) = &self.model {
            labels.set_text("announced/model", model.as_str());
        }
        if let Some(version) = &self.version {
            labels.set_text("announced/version", version.as_str());
        }
        if let Some(service) = &self.service {
            labels.set_text("announced/service", service.as_str());
        }
        for adapter in &self.adapters {
            labels.set_text(&format!("announced/adapter.{adapter}"), "true");
        }
        labels
    }
}

/// Facts of a host, from its settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostFacts {
    /// Its name.
    pub name: HostName,
    /// Where it stands.
    pub data_centre: DataCentreName,
}

impl HostFacts {
    pub(super) fn labels(&self) -> LabelSet {
        let mut labels = LabelSet::default();
        labels.set_text("announced/name", self.name.as_str());
        labels.set_text("announced/data-centre", self.data_centre.as_str());
        labels
    }
}
