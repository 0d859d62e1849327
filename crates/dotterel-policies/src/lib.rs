//! Placement, ordering and admission plug-ins for the kernel.
