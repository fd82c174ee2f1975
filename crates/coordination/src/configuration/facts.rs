//! Facts about requests, backend servers and hosts, which selectors match besides operators'
//! labels.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::label::LabelSet;
use crate::base::{
    AdapterName, CustomerName, DataCentreName, HostName, ModelName, ServerName, ServiceName,
    VersionName,
};

/// Model or service that a request names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RequestTarget {
    /// A draft: a completion or chat request to a model.
    Model {
        /// Name of the model.
        model: ModelName,
        /// Adapter that the caller names.
        adapter: Option<AdapterName>,
    },
    /// A call to a plain service.
    Service(ServiceName),
}

/// Facts of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestFacts {
    /// Customer that sent the request.
    pub customer: CustomerName,
    /// Requested model or service.
    pub target: RequestTarget,
    /// Path of the HTTP request, without the query; empty if there is none.
    pub path: Arc<str>,
    /// Further attributes such as header values, by key without prefix. They become labels
    /// `request/KEY`; an attribute that is no valid label is skipped.
    pub attributes: BTreeMap<Arc<str>, Arc<str>>,
}

impl RequestFacts {
    /// A draft with no adapter, path or attributes.
    pub fn draft(customer: CustomerName, model: ModelName) -> Self {
        let adapter = None;
        Self::of(customer, RequestTarget::Model { model, adapter })
    }

    /// A service call with no path or attributes.
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
    /// Name of the backend server.
    pub name: ServerName,
    /// Accelerator kind; empty for a plain service.
    pub kind: Arc<str>,
    /// Model whose layers it holds.
    pub model: Option<ModelName>,
    /// Version of that model.
    pub version: Option<VersionName>,
    /// Adapters that it can apply.
    pub adapters: Vec<AdapterName>,
    /// Plain service that it offers.
    pub service: Option<ServiceName>,
    /// Data centre of the machine.
    pub data_centre: DataCentreName,
    /// Role: `prefill`, `decode` or `both`; empty for a plain service.
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
    /// Name of the host.
    pub name: HostName,
    /// Data centre of the machine.
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
