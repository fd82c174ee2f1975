//! Command `pollendrift keys`: creates a development authority and certificates signed by it.

use std::net::IpAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bpaf::Bpaf;
use pollendrift::access::{CertificateRequest, KeyFolder, KeysError, Validity};
use pollendrift_coordination::base::WallTime;

const DAY: Duration = Duration::from_secs(24 * 60 * 60);

/// What to make.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct KeyOptions {
    /// Folder of the authority; made if it is not there
    #[bpaf(argument("DIR"))]
    folder: PathBuf,
    /// Host to certify, as NAME=ADDRESS; may be given again
    #[bpaf(argument::<String>("NAME=ADDRESS"), parse(read_host), many)]
    host: Vec<HostToCertify>,
    /// Operator to certify; may be given again
    #[bpaf(argument("NAME"), many)]
    operator: Vec<String>,
    /// Days for which the certificates are good
    #[bpaf(argument("DAYS"), fallback(365), display_fallback)]
    days: u32,
}

#[derive(Clone, Debug)]
struct HostToCertify {
    name: String,
    address: IpAddr,
}

fn read_host(text: String) -> Result<HostToCertify, String> {
    let expected = || format!("`{text}`: NAME=ADDRESS is expected, such as brest-1=127.0.0.1");
    let (name, address) = text.split_once('=').ok_or_else(expected)?;
    let address = address.parse().map_err(|_| expected())?;
    Ok(HostToCertify {
        name: name.to_owned(),
        address,
    })
}

/// Creates the requested certificates; never overwrites a file.
pub(crate) fn make(options: &KeyOptions) -> ExitCode {
    match issue_all(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pollendrift: {error}");
            ExitCode::FAILURE
        }
    }
}

fn issue_all(options: &KeyOptions) -> Result<(), KeysError> {
    let validity = validity(options.days);
    let folder = KeyFolder::open(&options.folder, validity)?;
    let hosts = options.host.iter().map(|host| CertificateRequest::Host {
        name: host.name.clone(),
        addresses: vec![host.address],
    });
    let operators = options.operator.iter().cloned();
    let operators = operators.map(|name| CertificateRequest::Operator { name });
    for request in hosts.chain(operators) {
        let files = folder.issue(&request, validity)?;
        println!("{}", files.certificate.display());
    }
    Ok(())
}

fn validity(days: u32) -> Validity {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    let wall = |time: Duration| WallTime(u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
    // The period starts one day ago, for hosts whose clocks are behind.
    Validity {
        from: wall(now.saturating_sub(DAY)),
        until: wall(now + DAY * days),
    }
}
