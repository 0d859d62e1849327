//! Tenants of a cell: their terms from the configuration, and small keys for them.

use compact_str::CompactString;
use dotterel_kernel::Size;

/// Maximum number of tenants that a cell knows; jobs of others have no tenant.
const MAX_TENANTS: usize = u16::MAX as usize;

/// What the configuration grants to a tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantTerms {
    /// Name of the tenant.
    pub name: CompactString,
    /// Share of the cell when all VMs are full, and the number of jobs per second that the tenant is
    /// entitled to; zero if the configuration states none.
    pub weight: f64,
    /// Most that the tenant's runs may occupy on all VMs together; zero in a resource is no limit.
    pub cap: Size,
}

/// Key of a tenant in the cell. It stays valid when the configuration no longer names the tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantNo(u16);

impl TenantNo {
    /// Returns the position of the tenant in tables that hold an entry for each tenant.
    #[must_use]
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// The tenants that the configuration or a stored job has named since the cell was created.
#[derive(Clone, Debug, Default)]
pub struct TenantTable {
    terms: Vec<TenantTerms>,
    /// Keys sorted by name.
    by_name: Vec<TenantNo>,
    /// Number of configurations that have stated terms.
    updates: u64,
    /// The last update that named each tenant.
    named_in: Vec<Option<u64>>,
    /// Set for tenants of restored jobs.
    is_restored: Vec<bool>,
}

impl TenantTable {
    /// Returns the tenant of this name, which is added without a cap if it isn't known; `None` for an
    /// empty name.
    pub fn find_or_add(&mut self, name: &str) -> Option<TenantNo> {
        if name.is_empty() {
            return None;
        }
        match self.position(name) {
            Ok(at) => Some(self.by_name[at]),
            Err(_) if self.terms.len() >= MAX_TENANTS => None,
            Err(at) => {
                let added = TenantNo(u16::try_from(self.terms.len()).ok()?);
                self.terms.push(TenantTerms {
                    name: name.into(),
                    ..TenantTerms::default()
                });
                self.named_in.push(None);
                self.is_restored.push(false);
                self.by_name.insert(at, added);
                Some(added)
            }
        }
    }

    /// Like `find_or_add`, for the tenant of a restored job that hasn't ended.
    pub fn find_or_restore(&mut self, name: &str) -> Option<TenantNo> {
        let tenant = self.find_or_add(name)?;
        self.is_restored[tenant.index()] = true;
        Some(tenant)
    }

    /// Returns the known tenant of this name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<TenantNo> {
        self.position(name).ok().map(|at| self.by_name[at])
    }

    /// Replaces the terms of the tenants that the configuration names. The others keep theirs, as their
    /// jobs run on.
    pub fn update(&mut self, tenants: Vec<TenantTerms>) {
        self.updates += 1;
        for terms in tenants {
            if let Some(tenant) = self.find_or_add(&terms.name) {
                self.terms[tenant.index()] = terms;
                self.named_in[tenant.index()] = Some(self.updates);
            }
        }
    }

    /// Returns the terms of a tenant.
    #[must_use]
    pub fn terms(&self, tenant: TenantNo) -> &TenantTerms {
        &self.terms[tenant.index()]
    }

    /// Returns true once a configuration has stated the terms. Until then caps are unknown.
    #[must_use]
    pub const fn is_configured(&self) -> bool {
        self.updates > 0
    }

    /// Returns true if the current configuration names the tenant.
    #[must_use]
    pub fn is_named(&self, tenant: TenantNo) -> bool {
        self.named_in[tenant.index()] == Some(self.updates)
    }

    /// Returns true if a tenant of restored jobs may have had a cap that this cell doesn't know: caps aren't
    /// stored with jobs, and no configuration has named the tenant since the cell was created.
    #[must_use]
    pub fn is_cap_lost(&self, tenant: TenantNo) -> bool {
        self.is_restored[tenant.index()] && self.named_in[tenant.index()].is_none()
    }

    /// Iterates over the tenants.
    pub fn iter(&self) -> impl Iterator<Item = (TenantNo, &TenantTerms)> {
        (0..).map(TenantNo).zip(&self.terms)
    }

    /// Returns the number of tenants.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.terms.len()
    }

    /// Returns true if there are no tenants.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.terms.is_empty()
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.by_name
            .binary_search_by(|tenant| self.terms[tenant.index()].name.as_str().cmp(name))
    }
}

/// Returns the size of `count` tasks, saturating.
pub(crate) const fn times(size: &Size, count: u32) -> Size {
    Size {
        milli_cores: size.milli_cores.saturating_mul(count),
        memory_mb: size.memory_mb.saturating_mul(count),
        accelerators: size.accelerators.saturating_mul(count),
        slots: size.slots.saturating_mul(count),
        connections: size.connections.saturating_mul(count),
    }
}
